import type { ClassTotals, Percentiles } from '../requests/measures.js';
import type { Violation } from '../requests/types.js';
import type { PerformedAction, EngineCounters } from '../samples/types.js';
import type { LoadClass, LoadPolicy } from '../scenario/types.js';
import type { Millis } from '../../core/clock.js';
import type { ClassName, VersionName } from '../../core/ids.js';

/** How requests ended, as the series count them. */
export type OutcomeLabel =
  | 'finished'
  | 'not-run'
  | 'may-have-run'
  | 'ran'
  | 'no-answer'
  | 'unfinished';

/** What callers of one class saw. */
export interface ClassResult extends ClassTotals {
  readonly className: ClassName;
  readonly kind: LoadClass['kind'];
  readonly offered: number;
  readonly finished: number;
  /** Failures by `verdict/code`. */
  readonly failures: Readonly<Record<string, number>>;
  readonly noAnswer: number;
  readonly unfinished: number;
  /** Calls that went on with a resume ticket. */
  readonly resumed: number;
  /** Calls that were made again because no token was shown. */
  readonly sentAgain: number;
  /** From the intended arrival; for plain services the whole answer. */
  readonly firstToken: Percentiles;
  readonly tokenGap: Percentiles;
  readonly wholeAnswer: Percentiles;
  /** Lateness of the load generator itself. */
  readonly sendDelay: Percentiles;
}

/** Requests that arrived within one step of the series. */
export interface OutcomePoint {
  readonly atMs: Millis;
  readonly className: ClassName;
  readonly outcome: OutcomeLabel;
  readonly count: number;
}

/** Generations that started within one sample. */
export interface VersionPoint {
  readonly atMs: Millis;
  readonly version: VersionName;
  readonly share: number;
}

/** Engines at one sample. */
export interface EnginesPoint {
  readonly atMs: Millis;
  readonly running: number;
  readonly waiting: number;
  /** Mean over the engines. */
  readonly memoryShare: number;
  readonly preemptions: number;
}

/** Result of one run under one policy. */
export interface RunResult {
  readonly scenario: string;
  readonly run: string;
  readonly seed: number;
  readonly policy: LoadPolicy;
  readonly startedAt: string;
  readonly durationMs: Millis;
  readonly classes: readonly ClassResult[];
  /** Newest counters of each engine. */
  readonly engines: readonly EngineCounters[];
  readonly preemptions: number;
  readonly overloadedWhileCold: number;
  /** Mean over engines and samples after the settling time. */
  readonly meanMemoryShare: number;
  readonly violations: readonly Violation[];
  readonly actions: readonly PerformedAction[];
  readonly series: {
    readonly outcomes: readonly OutcomePoint[];
    readonly versions: readonly VersionPoint[];
    readonly engines: readonly EnginesPoint[];
  };
}
