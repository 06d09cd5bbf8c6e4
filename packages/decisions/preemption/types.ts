import type { Millis } from '../../core/clock.js';
import type { CustomerId, RequestId, VersionName } from '../../core/ids.js';
import type { ClassTargets } from '../placement/types.js';
import type { SurvivalView } from '../survival/types.js';

/** How an engine orders priority numbers. */
export type PriorityOrder = 'lower-first' | 'higher-first';

/**
 * Whether the daemon may give a sequence up: one of which nothing was shown can run again
 * elsewhere; another one can only be paused by the engine itself.
 */
export type Preemptibility = 'restartable' | 'engine-only';

/** A sequence that holds memory of the engine. */
export interface MemoryHolder {
  readonly requestId: RequestId;
  readonly targets: ClassTargets;
  readonly customer: CustomerId;
  readonly version: VersionName;
  readonly promptTokens: number;
  readonly generated: number;
  readonly preemptibility: Preemptibility;
}

/** Memory of the engine now. */
export interface PreemptionInputs {
  readonly usedTokens: number;
  readonly totalTokens: number;
  readonly tokensPerSecond: number;
  readonly horizonMs: Millis;
  /** Probability of an overflow from which on a sequence is given up. */
  readonly overflowProbability: number;
  readonly survival: SurvivalView;
}

export type PreemptionDecision =
  | { readonly kind: 'keep' }
  | {
      readonly kind: 'preempt';
      /** Cheapest first. */
      readonly requestIds: readonly RequestId[];
      /** Whether memory is expected to suffice afterwards. */
      readonly outcome: 'enough' | 'not-enough';
    };
