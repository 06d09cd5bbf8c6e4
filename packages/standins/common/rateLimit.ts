import type { Millis } from '../../core/clock.js';

/** Token bucket of a rate limit; it refills at a constant rate. */
export interface TokenBucket {
  /** Requests that may pass at once. */
  readonly left: number;
  /** Instant for which `left` was computed. */
  readonly at: Millis;
}

export type RateLimitDecision =
  | { readonly kind: 'allowed'; readonly bucket: TokenBucket }
  | { readonly kind: 'limited'; readonly bucket: TokenBucket; readonly retryAfterMs: Millis };

/**
 * Takes one request from a token bucket, after refilling it up to the current instant.
 *
 * @param bucket - bucket after the last request
 * @param perSecond - requests that the bucket regains per second
 * @param burst - capacity of the bucket in requests
 * @param now - current instant
 * @returns whether the request may pass, and the next bucket
 */
export const takeFromBucket = (
  bucket: TokenBucket,
  perSecond: number,
  burst: number,
  now: Millis,
): RateLimitDecision => {
  const left = Math.min(burst, bucket.left + ((now - bucket.at) / 1_000) * perSecond);
  if (left >= 1) return { kind: 'allowed', bucket: { left: left - 1, at: now } };
  return {
    kind: 'limited',
    bucket: { left, at: now },
    retryAfterMs: Math.ceil(((1 - left) / perSecond) * 1_000),
  };
};
