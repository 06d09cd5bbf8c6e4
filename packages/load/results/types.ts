import type { ClassTotals, Percentiles } from '../requests/measures.js';
import type { Violation } from '../requests/types.js';
import type { PerformedAction, EngineCounters } from '../samples/types.js';
import type { LoadClass, LoadPolicy } from '../scenario/types.js';
import type { Millis } from '../../core/clock.js';
import type { ClassName, VersionName } from '../../core/ids.js';

/** Outcome of a request as counted in the series; failures are counted by verdict. */
export type OutcomeLabel =
  | 'finished'
  | 'not-run'
  | 'may-have-run'
  | 'ran'
  | 'no-answer'
  | 'unfinished';

/** Results of one class as seen by its callers; requests before the settling time are left out. */
export interface ClassResult extends ClassTotals {
  readonly className: ClassName;
  readonly kind: LoadClass['kind'];
  readonly offered: number;
  readonly finished: number;
  /** Failures by `verdict/code`. */
  readonly failures: Readonly<Record<string, number>>;
  readonly noAnswer: number;
  readonly unfinished: number;
  /** Retries with a resume ticket. */
  readonly resumed: number;
  /** Retries that sent the whole request again, because no token had been received. */
  readonly sentAgain: number;
  /** Time from the intended arrival; for plain services until the whole answer. */
  readonly firstToken: Percentiles;
  readonly tokenGap: Percentiles;
  readonly wholeAnswer: Percentiles;
  /** Delay from the intended arrival until the load generator sent the request. */
  readonly sendDelay: Percentiles;
}

/** Requests of one class and outcome that arrived within one step of the series. */
export interface OutcomePoint {
  readonly atMs: Millis;
  readonly className: ClassName;
  readonly outcome: OutcomeLabel;
  readonly count: number;
}

/** Share of a version in the generations that started since the previous sample. */
export interface VersionPoint {
  readonly atMs: Millis;
  readonly version: VersionName;
  readonly share: number;
}

/** Counters of all engines in one sample. */
export interface EnginesPoint {
  readonly atMs: Millis;
  readonly running: number;
  readonly waiting: number;
  /** Mean over the engines of the sample. */
  readonly memoryShare: number;
  readonly preemptions: number;
}

/** Result of a run under one policy. */
export interface RunResult {
  readonly scenario: string;
  readonly run: string;
  readonly seed: number;
  readonly policy: LoadPolicy;
  readonly startedAt: string;
  readonly durationMs: Millis;
  readonly classes: readonly ClassResult[];
  /** Most recent counters of each engine. */
  readonly engines: readonly EngineCounters[];
  readonly preemptions: number;
  readonly overloadedWhileCold: number;
  /** Mean over engines and samples, from the settling time to the end of the arrivals. */
  readonly meanMemoryShare: number;
  readonly violations: readonly Violation[];
  readonly actions: readonly PerformedAction[];
  readonly series: {
    readonly outcomes: readonly OutcomePoint[];
    readonly versions: readonly VersionPoint[];
    readonly engines: readonly EnginesPoint[];
  };
}
