import type { IntentLimits, KeySettings, NonceSettings } from './types.js';
import type { Millis } from '../../core/clock.js';

/** Record format that this version writes and reads. */
export const INTENT_FORMAT = 1 as const;

/**
 * Clock skew between two daemons that the expiry of keys tolerates. A chain is kept for this much
 * longer than its key is accepted, so no daemon accepts a key whose chain another one has dropped.
 */
export const CLOCK_MARGIN_MS: Millis = 5 * 60_000;

/** Maximum number of interned names of customers, endpoints and daemons. */
export const MAX_POOLED_STRINGS = 10_000;

/**
 * Maximum number of early abandoned nonces stored per key. A nonce beyond it only costs one more
 * fence request.
 */
export const MAX_EARLY_ABANDONED = 8;

/** Minimum number of chains that one expiry step visits. */
export const MIN_EXPIRY_VISITS = 2_000;

/** Time within which the expiry sweep visits every chain. */
export const EXPIRY_SWEEP_MS: Millis = 5 * 60_000;

/** Minimum number of chains that one upkeep round may carry forward. */
export const MIN_CARRIED_CHAINS = 64;

/**
 * Time within which every due chain is carried forward. The sum of this time and the age at which a
 * chain becomes due must be less than the log's retention time. Otherwise the records of a key
 * could be dropped, and the key could run again.
 */
export const CARRY_FORWARD_CYCLE_MS: Millis = 30 * 60_000;

/**
 * Fences are accepted up to this multiple of the nonce table's `maxEntries`, so that keys can still
 * be resolved while the table is too full for starts.
 */
export const FENCE_HEADROOM_FACTOR = 1.25;

export const DEFAULT_KEY_SETTINGS: KeySettings = {
  keyWindowMs: 24 * 3_600_000,
  // 150,000 chains of 683 bytes take 102 MB. The rest of 128 MB is left for other control state.
  maxUntimedKeys: 75_000,
  maxTimedKeys: 75_000,
};

export const DEFAULT_INTENT_LIMITS: IntentLimits = {
  settleMs: 3_000,
  pollMs: 200,
  maxReplayTries: 3,
  takeOverAfterMs: 1_000,
  maxIntents: 3,
  maxRecordTries: 6,
  recordRetryMs: 1_000,
};

export const DEFAULT_NONCE_SETTINGS: NonceSettings = {
  windowMs: 24 * 3_600_000,
  answerRetentionMs: 15 * 60_000,
  maxAnswerBytes: 32 * 1024 * 1024,
  maxEntries: 200_000,
};
