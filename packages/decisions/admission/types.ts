import type { Millis } from '../../core/clock.js';
import type { CustomerId, RequestId, VersionName } from '../../core/ids.js';
import type { Failure } from '../../core/verdict.js';
import type { ClassTargets } from '../placement/types.js';
import type { SurvivalView } from '../survival/types.js';

/** Identifies one start of an engine on its load page; a new identity means a cold engine. */
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

/** Phase of the admission limit. */
export type AdmissionPhase =
  | {
      /** The engine's identity is not confirmed, so nothing is admitted. */
      readonly kind: 'starting';
      /** Identity and limit before the engine was suspected; absent after the daemon's start. */
      readonly previous?: { readonly identity: EngineIdentity; readonly limit: number };
    }
  | {
      /** The limit grows by a factor as evidence accumulates. */
      readonly kind: 'ramping';
      readonly identity: EngineIdentity;
      readonly limit: number;
    }
  | {
      /** The limit reached its upper bound or was decreased; it grows by one sequence at a time. */
      readonly kind: 'serving';
      readonly identity: EngineIdentity;
      readonly limit: number;
    };

/** A request that arrived at the endpoint daemon. */
export interface AdmissionRequest {
  readonly requestId: RequestId;
  readonly targets: ClassTargets;
  readonly customer: CustomerId;
  readonly version: VersionName;
  readonly promptTokens: number;
}

/** An admitted request that runs on the engine. */
export interface RunningSequence extends AdmissionRequest {
  readonly generated: number;
  /** Whether the engine's identity was confirmed after the sequence was admitted. */
  readonly engine: 'confirmed' | 'unconfirmed';
  readonly admittedAt: Millis;
}

/** Memory of the engine according to its last load page. */
export interface EngineMemory {
  readonly usedTokens: number;
  /** 0 for plain services. */
  readonly totalTokens: number;
  readonly tokensPerSecond: number;
  readonly preemptions: number;
}

/** Moving average of the time between tokens, and its baseline. */
export interface TokenGaps {
  /** Lowest moving average since the engine's start; absent before enough samples. */
  readonly baselineMs?: Millis;
  /** Exponential moving average of the gaps. */
  readonly recentMs?: Millis;
  readonly samples: number;
}

export interface AdmissionState {
  readonly phase: AdmissionPhase;
  readonly running: ReadonlyMap<RequestId, RunningSequence>;
  readonly memory: EngineMemory;
  readonly gaps: TokenGaps;
  /** Units of evidence for a higher limit, collected near the limit since it last changed. */
  readonly evidence: number;
  readonly changedAt: Millis;
}

export type AdmissionEvent =
  | {
      /** The engine's load page was read. */
      readonly kind: 'load-read';
      readonly identity: EngineIdentity;
      readonly memory: EngineMemory;
      /** Tokens generated so far by the sequences in the daemon's buffers. */
      readonly generated: ReadonlyMap<RequestId, number>;
      /** Instant of the page's request; the page confirms the sequences admitted before it. */
      readonly requestedAt: Millis;
      readonly now: Millis;
    }
  | { readonly kind: 'admitted'; readonly request: AdmissionRequest; readonly now: Millis }
  | {
      /** Tokens of one sequence arrived; a plain service has 0 tokens and the latency of a call. */
      readonly kind: 'tokens-received';
      readonly requestId: RequestId;
      readonly tokens: number;
      /** Mean time between the tokens. */
      readonly gapMs: Millis;
      readonly now: Millis;
    }
  | {
      readonly kind: 'sequence-ended';
      readonly requestId: RequestId;
      /** `engine-failed` when the engine aborted the sequence, as when it crashes or restarts. */
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
  /** The load page must be read now, since further admissions depend on the engine's identity. */
  | { readonly kind: 'read-load' }
  /** The engine that ran these sequences has been replaced. */
  | { readonly kind: 'sequences-lost'; readonly requestIds: readonly RequestId[] };

/** Bounds and growth parameters of the admission limit. */
export interface AdmissionSettings {
  /** Limit of an engine of which nothing is known yet. */
  readonly startLimit: number;
  readonly maxLimit: number;
  /** Maximum number of admissions before the engine's identity must be confirmed again. */
  readonly maxUnconfirmed: number;
  /** Growth factor of the limit while ramping. */
  readonly growthFactor: number;
  /** Factor on the limit at a sign of collapse or a preemption. */
  readonly decreaseFactor: number;
  /** Tokens per unit of evidence; the limit grows after one unit per allowed sequence. */
  readonly evidenceTokens: number;
  /** Units of evidence per completion: 0 for engines, which warm up by tokens; 1 for services. */
  readonly completionEvidence: number;
  /** Highest mean gap at which the limit grows, as a multiple of the baseline. */
  readonly nearBaselineFactor: number;
  /** Mean gap above which the limit is decreased, as a multiple of the baseline. */
  readonly collapseFactor: number;
  /** Mean gap above which the engine's cache is considered cold, as a multiple of the baseline. */
  readonly coldFactor: number;
  /** Mean gap that operators accept: the limit grows up to it, even above `nearBaselineFactor`. */
  readonly acceptedGapMs: Millis;
  /** Time after a change during which the limit is not decreased, since gaps lag behind it. */
  readonly settleMs: Millis;
  /** Whether predicted memory use bounds the running sequences in addition to the limit. */
  readonly memoryBound: 'predicted' | 'none';
  readonly horizonMs: Millis;
  readonly overflowProbability: number;
}

/** Inputs of admission decisions in addition to the state and the event. */
export interface AdmissionContext {
  readonly settings: AdmissionSettings;
  readonly survival: SurvivalView;
}

export type AdmitDecision =
  { readonly kind: 'admit' } | { readonly kind: 'refuse'; readonly failure: Failure };
