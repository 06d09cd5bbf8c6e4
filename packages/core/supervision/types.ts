import type { Millis } from '../clock.js';
import type { Step } from '../step.js';

/** When a child is started again: always, after a failure only, or never. */
export type RestartRule = 'permanent' | 'transient' | 'temporary';

/** Which children are restarted with a failed one. */
export type RestartStrategy = 'one-for-one' | 'rest-for-one' | 'one-for-all';

/** Where a restarted child takes its state from. */
export type StateSource = 'settings' | 'log' | 'peers' | 'heartbeats' | 'endpoint' | 'nothing';

export interface RestartIntensity {
  readonly restarts: number;
  readonly withinMs: Millis;
}

/** A started child that owns its state. */
export interface RunningChild<Event, Effect> {
  /** Effects of the start, carried out before the first event. */
  readonly started: readonly Effect[];
  readonly handle: (event: Event) => readonly Effect[];
  /** Effects of an orderly stop. */
  readonly stop: () => readonly Effect[];
}

export interface ChildSpec<Event, Effect> {
  readonly name: string;
  readonly restart: RestartRule;
  readonly rebuildsFrom: StateSource;
  readonly start: () => RunningChild<Event, Effect>;
}

export interface SupervisorSpec<Event, Effect> {
  readonly name: string;
  readonly strategy: RestartStrategy;
  readonly intensity: RestartIntensity;
  /** Children in start order; they stop in the reverse order. */
  readonly children: readonly ChildSpec<Event, Effect>[];
  /** Names the child that handles an event. */
  readonly route: (event: Event) => string;
}

/** Pure decisions of a child: its first state and one step per event. */
export interface ChildLogic<State, Event, Effect> {
  readonly init: () => Step<State, Effect>;
  readonly decide: (state: State, event: Event) => Step<State, Effect>;
  readonly stop?: (state: State) => readonly Effect[];
}

export interface ChildFailure {
  readonly supervisor: string;
  readonly child: string;
  readonly rebuildsFrom: StateSource;
  readonly error: unknown;
}
