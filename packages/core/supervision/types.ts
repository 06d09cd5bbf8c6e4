import type { Millis } from '../clock.js';
import type { Step } from '../step.js';

/** When a child is restarted: always, only after a failure, or never. */
export type RestartRule = 'permanent' | 'transient' | 'temporary';

/** Which children are restarted together with a failed one. */
export type RestartStrategy = 'one-for-one' | 'rest-for-one' | 'one-for-all';

/** Source from which a restarted child rebuilds its state. */
export type StateSource = 'settings' | 'log' | 'peers' | 'heartbeats' | 'endpoint' | 'nothing';

/** Largest number of restarts within a sliding window before the supervisor escalates. */
export interface RestartIntensity {
  readonly restarts: number;
  readonly withinMs: Millis;
}

/** A started child that owns its state. */
export interface RunningChild<Event, Effect> {
  /** Effects of the start, performed before the first event. */
  readonly started: readonly Effect[];
  readonly handle: (event: Event) => readonly Effect[];
  /** Stops the child and returns the effects of an orderly stop. */
  readonly stop: () => readonly Effect[];
}

/** Specification from which a supervisor starts and restarts a child. */
export interface ChildSpec<Event, Effect> {
  readonly name: string;
  readonly restart: RestartRule;
  readonly rebuildsFrom: StateSource;
  readonly start: () => RunningChild<Event, Effect>;
}

/** Specification of a supervisor and its children. */
export interface SupervisorSpec<Event, Effect> {
  readonly name: string;
  readonly strategy: RestartStrategy;
  readonly intensity: RestartIntensity;
  /** Children in start order; they stop in the reverse order. */
  readonly children: readonly ChildSpec<Event, Effect>[];
  /** Returns the name of the child that handles an event. */
  readonly route: (event: Event) => string;
}

/** Pure decision logic of a child: its initial state and one step per event. */
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
