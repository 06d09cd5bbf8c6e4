import type { AdmissionSettings } from './types.js';

/**
 * Settings of an endpoint daemon whose file names none. Growth by 1.5 per 128 tokens and sequence, and
 * completions that counted 0.1 units or more, overran an engine that warms up by one sequence per 400 tokens
 * (coldEndpoint.promise.test.ts).
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
 * Settings for a plain service: calls hold no memory, a completion is the evidence, and the latency
 * of a call stands for the token gap. Latencies vary more between calls than token gaps do.
 */
export const SERVICE_ADMISSION_SETTINGS: AdmissionSettings = {
  ...DEFAULT_ADMISSION_SETTINGS,
  completionEvidence: 1,
  nearBaselineFactor: 2,
  collapseFactor: 4,
  coldFactor: 12,
  memoryBound: 'none',
};

/** Weight of one report in the mean of recent token gaps. */
export const GAP_WEIGHT = 0.1;

/** Largest gap that the mean of recent gaps takes in, as a multiple of the cold gap. */
export const MAX_GAP_FACTOR = 1.25;

/** Gap reports before the mean says anything about the engine. */
export const MIN_GAP_SAMPLES = 5;

/** Share of the limit that must run for tokens and completions to be evidence about it. */
export const EVIDENCE_LOAD_SHARE = 0.5;

/** Share of memory that must be free for the limit to grow. */
export const GROWTH_FREE_MEMORY_SHARE = 0.1;

/** Shortest and longest advice to a refused caller. */
export const MIN_RETRY_AFTER_MS = 25;
export const MAX_RETRY_AFTER_MS = 5_000;

/** Time between tokens assumed before the first measurement. */
export const DEFAULT_GAP_MS = 30;
