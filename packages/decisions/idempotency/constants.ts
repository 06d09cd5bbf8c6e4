import type { IntentLimits, KeySettings, NonceSettings } from './types.js';
import type { Millis } from '../../core/clock.js';

/** Format of the records that this version writes and reads. */
export const INTENT_FORMAT = 1 as const;

/**
 * Clock difference between two daemons that the expiry of keys allows for. A chain is kept this
 * much longer than its key is accepted, so no daemon accepts a key whose chain another one dropped.
 */
export const CLOCK_MARGIN_MS: Millis = 5 * 60_000;

/** Names of customers, endpoints and daemons of which one copy is kept for all chains. */
export const MAX_POOLED_STRINGS = 10_000;

/** Early abandoned nonces remembered per key; a forgotten one only costs a fence. */
export const MAX_EARLY_ABANDONED = 8;

/** Chains that one search for expired keys looks at, at least. */
export const MIN_EXPIRY_VISITS = 2_000;

/** Time within which the search for expired keys visits every chain. */
export const EXPIRY_SWEEP_MS: Millis = 5 * 60_000;

/** Chains that one round carries forward, at least. */
export const MIN_CARRIED_CHAINS = 64;

/**
 * Time within which every chain is carried forward once it is due. With the age at which it is due
 * it must lie below the log's retention time, or a key would be forgotten and could run again.
 */
export const CARRY_FORWARD_CYCLE_MS: Millis = 30 * 60_000;

/** Share of starts that fences may exceed the bound of the nonce table by, so that keys can be settled when it is full. */
export const FENCE_HEADROOM_FACTOR = 1.25;

export const DEFAULT_KEY_SETTINGS: KeySettings = {
  keyWindowMs: 24 * 3_600_000,
  // 150,000 chains of 683 bytes are 102 MB, which leaves room below 128 MB for other control state.
  maxUntimedKeys: 75_000,
  maxTimedKeys: 75_000,
};

export const DEFAULT_INTENT_LIMITS: IntentLimits = {
  settleMs: 3_000,
  pollMs: 200,
  takeOverAfterMs: 1_000,
  maxIntents: 3,
  maxRecordTries: 6,
  recordRetryMs: 1_000,
};

export const DEFAULT_NONCE_SETTINGS: NonceSettings = {
  windowMs: 24 * 3_600_000,
  answerKeepMs: 15 * 60_000,
  maxAnswerBytes: 32 * 1024 * 1024,
  maxEntries: 200_000,
};
