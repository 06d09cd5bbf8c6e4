import type { Millis } from '../../core/clock.js';
import type { CustomerId, RequestId, VersionName } from '../../core/ids.js';
import type { ClassTargets } from '../placement/types.js';
import type { SurvivalView } from '../survival/types.js';

/** Which priority numbers an engine serves first. */
export type PriorityOrder = 'lower-first' | 'higher-first';

/**
 * Whether the daemon may preempt a sequence. A sequence with no output delivered yet can restart on
 * another endpoint; any other can be paused only by the engine itself.
 */
export type Preemptibility = 'restartable' | 'engine-only';

/** A sequence that holds engine memory. */
export interface MemoryHolder {
  readonly requestId: RequestId;
  readonly targets: ClassTargets;
  readonly customer: CustomerId;
  readonly version: VersionName;
  readonly promptTokens: number;
  readonly generated: number;
  readonly preemptibility: Preemptibility;
}

/** State of the engine's memory, and parameters of the decision. */
export interface PreemptionInputs {
  readonly usedTokens: number;
  readonly totalTokens: number;
  readonly tokensPerSecond: number;
  readonly horizonMs: Millis;
  /** Overflow probability above which sequences are preempted. */
  readonly overflowProbability: number;
  readonly survival: SurvivalView;
}

export type PreemptionDecision =
  | { readonly kind: 'keep' }
  | {
      readonly kind: 'preempt';
      /** Sequences to preempt, lowest cost first. */
      readonly requestIds: readonly RequestId[];
      /** Whether this reduces the overflow probability to the accepted one. */
      readonly outcome: 'enough' | 'not-enough';
    };
