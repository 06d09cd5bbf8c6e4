import type { SequentialTest, Tally } from './sequentialTest.js';
import type { Millis } from '../../core/clock.js';
import type {
  ClassName,
  DataCentreId,
  EndpointId,
  Incarnation,
  ModelName,
  Offset,
  VersionName,
} from '../../core/ids.js';

/** Gradual move of a model's traffic from one version to another, as recorded in the log. */
export interface Move {
  readonly name: string;
  readonly model: ModelName;
  readonly from: VersionName;
  readonly to: VersionName;
  readonly startedAt: Millis;
  readonly deadline: Millis;
}

/** Outcome of a terminal record: `taken-back` means that the move was rolled back. */
export type MoveOutcome = 'done' | 'taken-back';

/** Version of a move: `old` is the one that traffic moves from, `new` the one that it moves to. */
export type VersionSide = 'old' | 'new';

/** `failure`: failures among all answers. `slow`: slow answers among the successful ones. */
export type FaultMetric = 'failure' | 'slow';

/** Class, data centre and route for which the versions are compared. */
export interface CellName {
  readonly className: ClassName;
  readonly dataCentre: DataCentreId;
  readonly route: string;
}

/** Cumulative counts of one class and route since the start of the endpoint's incarnation. */
export interface EvidenceCounts {
  readonly route: string;
  readonly className: ClassName;
  readonly successes: number;
  readonly failures: number;
  /** Successes that were slower than the target of their class. */
  readonly slow: number;
}

/** Counts that one endpoint's heartbeat carries. */
export interface EvidenceReport {
  readonly endpoint: EndpointId;
  readonly incarnation: Incarnation;
  readonly dataCentre: DataCentreId;
  readonly version: VersionName;
  readonly counts: readonly EvidenceCounts[];
}

/** Tallies by metric. */
export type Tallies = Readonly<Record<FaultMetric, Tally>>;

/** Tallies of both versions over the same period. */
export type SideTallies = Readonly<Record<VersionSide, Tallies>>;

/** Sequential tests of one metric. */
export interface MetricTests {
  /** Concurrent control: compares with answers of the old version from the same period. */
  readonly concurrent: SequentialTest;
  /**
   * Historical control: compares with earlier answers of the old version, so it still works once
   * that version receives no traffic.
   */
  readonly historical: SequentialTest;
}

/** Counts and tests of one class, data centre and route. */
export interface Cell {
  readonly name: CellName;
  /** Counts since this daemon started to track the move. */
  readonly total: SideTallies;
  /** Counts since the last concurrent comparison. */
  readonly stratum: SideTallies;
  /** Evaluations that the stratum has waited for enough answers. */
  readonly stratumEvaluations: number;
  /** Counts since the last evaluation. */
  readonly latest: SideTallies;
  /** Counts that decay at each evaluation. */
  readonly recent: SideTallies;
  readonly tests: Readonly<Record<FaultMetric, MetricTests>>;
}

/** Counts reported under one key of endpoint, incarnation, version, class and route. */
export interface ReportedCounts {
  /** First counts of the old version, subtracted to leave out earlier answers; zero for the new. */
  readonly baseline: EvidenceCounts;
  readonly newest: EvidenceCounts;
}

/**
 * Evidence of one move. The maps are updated in place, because each heartbeat writes to them; only
 * `evidence.ts` does so. Counts of incarnations that have ended are kept.
 */
export interface Evidence {
  readonly reported: Map<string, ReportedCounts>;
  readonly cells: Map<string, Cell>;
  /** Tests over all cells together, which detect a weak fault that is spread over them. */
  readonly overall: Readonly<Record<FaultMetric, MetricTests>>;
  readonly evaluatedAt: Millis;
  /** Instant of the newest report of the new version. */
  readonly newVersionReportAt: Millis;
}

/** Statistically significant fault of the new version. */
export interface FaultFinding {
  readonly metric: FaultMetric;
  /** Null when the fault is significant only over all cells together. */
  readonly cell: CellName | null;
}

/** Share of the new version by route, or a stop because of a significant fault. */
export type ShareDecision =
  | { readonly kind: 'stop'; readonly finding: FaultFinding }
  | {
      readonly kind: 'shares';
      readonly routes: ReadonlyMap<string, number>;
      readonly progress: 'ramping' | 'full';
      /** Whether a fault is suspected on any route, without being significant yet. */
      readonly suspicion: 'none' | 'some';
    };

/** `stopping` and `finishing` last until a terminal record is read back from the log. */
export type MovePhase = 'idle' | 'moving' | 'stopping' | 'finishing' | 'done' | 'taken-back';

/** State of one move at an entry daemon. */
export interface MoveState {
  readonly phase: MovePhase;
  readonly move: Move | null;
  readonly evidence: Evidence;
  /** Share of the new version by route. */
  readonly routes: ReadonlyMap<string, number>;
  /** Instant since which all routes are at full share. */
  readonly fullSince: Millis | null;
  /** Instant of the latest append of a terminal record. */
  readonly terminalAppendAt: Millis;
  /** Whether an operator was called because the move may miss its deadline. */
  readonly operator: 'not-called' | 'called';
}

/** Input of a move's decision at an entry daemon; `tick` comes every 500 ms. */
export type MoveEvent =
  | { readonly kind: 'move-record'; readonly move: Move; readonly now: Millis }
  | {
      readonly kind: 'ended-record';
      readonly name: string;
      readonly outcome: MoveOutcome;
      readonly offset: Offset;
    }
  | { readonly kind: 'evidence'; readonly report: EvidenceReport; readonly now: Millis }
  | { readonly kind: 'rollback-order'; readonly author: string; readonly now: Millis }
  | { readonly kind: 'tick'; readonly now: Millis };

/** Shares to apply, records to append and notifications of operators. */
export type MoveEffect =
  | { readonly kind: 'shares-changed'; readonly routes: ReadonlyMap<string, number> }
  | {
      readonly kind: 'append-ended';
      readonly name: string;
      readonly outcome: MoveOutcome;
    }
  | { readonly kind: 'stopped'; readonly name: string; readonly finding: FaultFinding }
  | {
      readonly kind: 'needs-operator';
      readonly name: string;
      readonly reason: 'too-little-evidence' | 'unclear-evidence' | 'faults-after-done';
    }
  | { readonly kind: 'ended'; readonly name: string; readonly outcome: MoveOutcome };
