import type { Millis } from '../../core/clock.js';
import type { CustomerId, RequestId, VersionName } from '../../core/ids.js';
import type { Failure } from '../../core/verdict.js';
import type { ClassTargets } from '../placement/types.js';
import type { SurvivalView } from '../survival/types.js';

/** Start identity that an engine shows on its load page; another one means a cold engine. */
export type EngineIdentity = string;

/** Why a limit changed. */
export type LimitCause =
  | 'engine-seen'
  | 'engine-changed'
  | 'engine-suspected'
  | 'cold-latency'
  | 'evidence'
  | 'collapse'
  | 'preemption';

/** Phase of the limit. */
export type AdmissionPhase =
  | {
      /** The engine's identity is not confirmed, so nothing is admitted. */
      readonly kind: 'starting';
      /** Engine seen before the doubt, with its limit; absent after the daemon's own start. */
      readonly previous?: { readonly identity: EngineIdentity; readonly limit: number };
    }
  | {
      /** The limit grows by a factor as evidence comes in. */
      readonly kind: 'ramping';
      readonly identity: EngineIdentity;
      readonly limit: number;
    }
  | {
      /** The limit grows by single sequences; it has met its upper bound or a collapse sign. */
      readonly kind: 'serving';
      readonly identity: EngineIdentity;
      readonly limit: number;
    };

/** A request at the endpoint daemon. */
export interface AdmissionRequest {
  readonly requestId: RequestId;
  readonly targets: ClassTargets;
  readonly customer: CustomerId;
  readonly version: VersionName;
  readonly promptTokens: number;
}

/** An admitted request that runs at the engine. */
export interface RunningSequence extends AdmissionRequest {
  readonly generated: number;
  /** Whether the engine showed its identity after it took the sequence. */
  readonly engine: 'confirmed' | 'unconfirmed';
  readonly admittedAt: Millis;
}

/** Memory of the engine at its last load page. */
export interface EngineMemory {
  readonly usedTokens: number;
  /** 0 for plain services. */
  readonly totalTokens: number;
  readonly tokensPerSecond: number;
  readonly preemptions: number;
}

/** Time between tokens of one sequence. */
export interface TokenGaps {
  /** Smallest mean seen of this engine since its start; absent before any evidence. */
  readonly baselineMs?: Millis;
  /** Mean of the most recent gaps. */
  readonly recentMs?: Millis;
  readonly samples: number;
}

export interface AdmissionState {
  readonly phase: AdmissionPhase;
  readonly running: ReadonlyMap<RequestId, RunningSequence>;
  readonly memory: EngineMemory;
  readonly gaps: TokenGaps;
  /** Units of evidence near the limit since it last changed. */
  readonly evidence: number;
  readonly changedAt: Millis;
}

export type AdmissionEvent =
  | {
      /** The engine's load page was read. */
      readonly kind: 'load-read';
      readonly identity: EngineIdentity;
      readonly memory: EngineMemory;
      /** Tokens generated so far, of the sequences in the daemon's buffers. */
      readonly generated: ReadonlyMap<RequestId, number>;
      /** When the page was asked for; it confirms the sequences admitted before. */
      readonly requestedAt: Millis;
      readonly now: Millis;
    }
  | { readonly kind: 'admitted'; readonly request: AdmissionRequest; readonly now: Millis }
  | {
      /** Tokens of one sequence arrived; for a plain service, 0 tokens and the latency of a call. */
      readonly kind: 'tokens-received';
      readonly requestId: RequestId;
      readonly tokens: number;
      /** Mean time between them. */
      readonly gapMs: Millis;
      readonly now: Millis;
    }
  | {
      readonly kind: 'sequence-ended';
      readonly requestId: RequestId;
      /** `engine-failed` when the engine broke off, as it does when it dies or restarts. */
      readonly reason: 'finished' | 'cancelled' | 'engine-failed';
      readonly now: Millis;
    }
  | { readonly kind: 'engine-unreachable'; readonly now: Millis };

export type AdmissionEffect =
  | {
      readonly kind: 'limit-changed';
      readonly limit: number;
      readonly phase: AdmissionPhase['kind'];
      readonly cause: LimitCause;
    }
  /** The load page must be read now, since more admissions depend on the engine's identity. */
  | { readonly kind: 'read-load' }
  /** The engine that ran these sequences is gone. */
  | { readonly kind: 'sequences-lost'; readonly requestIds: readonly RequestId[] };

/** Bounds and rates of the limit. */
export interface AdmissionSettings {
  /** Sequences given to an engine of which nothing is known. */
  readonly startLimit: number;
  readonly maxLimit: number;
  /** Admissions before the engine must show its identity again. */
  readonly maxUnconfirmed: number;
  /** Factor of growth while ramping. */
  readonly growthFactor: number;
  /** Factor on the limit at a collapse sign. */
  readonly decreaseFactor: number;
  /** Tokens that count as one unit of evidence; the limit grows after one unit per sequence. */
  readonly evidenceTokens: number;
  /** Units that a completion counts: 0 for engines, which warm up by tokens; 1 for services. */
  readonly completionEvidence: number;
  /** Gap up to which the limit grows, as a multiple of the baseline. */
  readonly nearBaselineFactor: number;
  /** Mean gap from which on the limit falls, as a multiple of the baseline. */
  readonly collapseFactor: number;
  /** Mean gap from which on the engine's cache counts as cold, as a multiple of the baseline. */
  readonly coldFactor: number;
  /** Gap that operators accept; the limit grows up to it even above `nearFactor`. */
  readonly acceptedGapMs: Millis;
  /** Time after a change in which no further decrease follows: gaps lag behind the limit. */
  readonly settleMs: Millis;
  /** Whether predicted memory bounds the running sequences besides the limit. */
  readonly memoryBound: 'predicted' | 'none';
  readonly horizonMs: Millis;
  readonly overflowProbability: number;
}

/** Inputs of admission decisions besides state and event. */
export interface AdmissionContext {
  readonly settings: AdmissionSettings;
  readonly survival: SurvivalView;
}

export type AdmitDecision =
  { readonly kind: 'admit' } | { readonly kind: 'refuse'; readonly failure: Failure };
