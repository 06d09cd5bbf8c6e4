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

/** Record that moves a model's traffic from one version to another. */
export interface Move {
  readonly name: string;
  readonly model: ModelName;
  readonly from: VersionName;
  readonly to: VersionName;
  readonly startedAt: Millis;
  readonly deadline: Millis;
}

/** Outcome of a terminal record. */
export type MoveOutcome = 'done' | 'taken-back';

/** `old` is the version that the move comes from. */
export type VersionSide = 'old' | 'new';

/** `failure`: failed among all answers. `slow`: slow among the answers that succeeded. */
export type FaultMetric = 'failure' | 'slow';

/** Place in which the versions are compared. */
export interface CellName {
  readonly className: ClassName;
  readonly dataCentre: DataCentreId;
  readonly route: string;
}

/** Cumulative counts of one class and route since the incarnation started. */
export interface EvidenceCounts {
  readonly route: string;
  readonly className: ClassName;
  readonly successes: number;
  readonly failures: number;
  /** Successes that were slower than the class's target. */
  readonly slow: number;
}

/** Evidence of one endpoint's heartbeat. */
export interface EvidenceReport {
  readonly endpoint: EndpointId;
  readonly incarnation: Incarnation;
  readonly dataCentre: DataCentreId;
  readonly version: VersionName;
  readonly counts: readonly EvidenceCounts[];
}

/** Faults among answers for both metrics. */
export type Tallies = Readonly<Record<FaultMetric, Tally>>;

/** Tallies of both versions over the same time. */
export type SideTallies = Readonly<Record<VersionSide, Tallies>>;

/** Both tests of one metric. */
export interface MetricTests {
  /** Against answers of the old version at the same time. */
  readonly concurrent: SequentialTest;
  /** Against the past of the old version; works when it gets no traffic any more. */
  readonly historical: SequentialTest;
}

/** Counts and tests of one class, data centre and route. */
export interface Cell {
  readonly name: CellName;
  /** Everything counted since the move began to be watched. */
  readonly total: SideTallies;
  /** Counts since the last comparison at the same time, and the looks they have waited. */
  readonly stratum: SideTallies;
  readonly stratumEvaluations: number;
  /** Counts since the last look. */
  readonly latest: SideTallies;
  /** Counts that fade with each look. */
  readonly recent: SideTallies;
  readonly tests: Readonly<Record<FaultMetric, MetricTests>>;
}

/** What one report key has contributed. */
export interface ReportedCounts {
  readonly baseline: EvidenceCounts;
  readonly newest: EvidenceCounts;
}

/**
 * Evidence of one move. The tables are updated in place, since each heartbeat writes to them; only
 * `evidence.ts` does. Counts of dead incarnations stay in.
 */
export interface Evidence {
  readonly reported: Map<string, ReportedCounts>;
  readonly cells: Map<string, Cell>;
  /** Product over all cells, which finds a weak fault that is spread over them. */
  readonly overall: Readonly<Record<FaultMetric, MetricTests>>;
  readonly evaluatedAt: Millis;
  readonly newVersionReportAt: Millis;
}

/** Where a clear fault was found. */
export interface FaultFinding {
  readonly metric: FaultMetric;
  /** Null when the fault shows only over all cells together. */
  readonly cell: CellName | null;
}

/** Share of the new version by route, or a stop because of a clear fault. */
export type ShareDecision =
  | { readonly kind: 'stop'; readonly finding: FaultFinding }
  | {
      readonly kind: 'shares';
      readonly routes: ReadonlyMap<string, number>;
      readonly progress: 'growing' | 'full';
      readonly suspicion: 'none' | 'some';
    };

/** `stopping` and `finishing` wait until a terminal record is read back from the log. */
export type MovePhase = 'idle' | 'moving' | 'stopping' | 'finishing' | 'done' | 'taken-back';

/** One move at an entry daemon. */
export interface MoveState {
  readonly phase: MovePhase;
  readonly move: Move | null;
  readonly evidence: Evidence;
  readonly routes: ReadonlyMap<string, number>;
  readonly fullSince: Millis | null;
  /** Instant of the newest append of a terminal record. */
  readonly terminalAppendAt: Millis;
  readonly operator: 'not-asked' | 'asked';
}

/** What an entry daemon learns of a move; it ticks every 500 ms. */
export type MoveEvent =
  | { readonly kind: 'move-record'; readonly move: Move; readonly now: Millis }
  | {
      readonly kind: 'ended-record';
      readonly name: string;
      readonly outcome: MoveOutcome;
      readonly offset: Offset;
    }
  | { readonly kind: 'evidence'; readonly report: EvidenceReport; readonly now: Millis }
  | { readonly kind: 'take-back-order'; readonly author: string; readonly now: Millis }
  | { readonly kind: 'tick'; readonly now: Millis };

/** Shares to apply, records to append and reports to operators. */
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
