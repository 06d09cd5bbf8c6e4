import type { AdmissionSettings } from './types.js';

/**
 * Settings of an endpoint daemon whose settings file names none. Growth by 1.5 per 128 tokens and
 * sequence, and completions that counted 0.1 units of evidence or more, overloaded an engine whose
 * capacity grows by one sequence per 400 tokens (coldEndpoint.promise.test.ts).
 */
export const DEFAULT_ADMISSION_SETTINGS: AdmissionSettings = {
  startLimit: 2,
  maxLimit: 256,
  maxUnconfirmed: 2,
  growthFactor: 1.25,
  decreaseFactor: 0.7,
  evidenceTokens: 256,
  completionEvidence: 0,
  nearBaselineFactor: 1.5,
  collapseFactor: 2.5,
  coldFactor: 6,
  acceptedGapMs: 0,
  settleMs: 1_000,
  memoryBound: 'predicted',
  horizonMs: 60_000,
  overflowProbability: 0.005,
};

/**
 * Settings for a plain service: calls use no engine memory, completions are the evidence for
 * growth, and call latency replaces the token gap. The gap factors are higher because latencies
 * vary more between calls than token gaps do.
 */
export const SERVICE_ADMISSION_SETTINGS: AdmissionSettings = {
  ...DEFAULT_ADMISSION_SETTINGS,
  completionEvidence: 1,
  nearBaselineFactor: 2,
  collapseFactor: 4,
  coldFactor: 12,
  memoryBound: 'none',
};

/** Weight of the newest report in the exponential moving average of token gaps. */
export const GAP_WEIGHT = 0.1;

/**
 * Cap on a single gap in the moving average, as a multiple of the gap above which the engine's
 * cache is considered cold.
 */
export const MAX_GAP_FACTOR = 1.25;

/** Minimum number of gap reports before the moving average sets a baseline. */
export const MIN_GAP_SAMPLES = 5;

/** Share of the limit that must be running for tokens and completions to count as evidence. */
export const EVIDENCE_LOAD_SHARE = 0.5;

/** Minimum free share of memory for the limit to grow. */
export const GROWTH_FREE_MEMORY_SHARE = 0.1;

/** Bounds on the `retryAfterMs` of a refusal. */
export const MIN_RETRY_AFTER_MS = 25;
export const MAX_RETRY_AFTER_MS = 5_000;

/** Assumed time between tokens before the first measurement. */
export const DEFAULT_GAP_MS = 30;
