import type { Millis } from '../../core/clock.js';

/** Allowance of a rate limit that refills evenly. */
export interface TokenBucket {
  readonly left: number;
  readonly at: Millis;
}

export type RateLimitDecision =
  | { readonly kind: 'allowed'; readonly bucket: TokenBucket }
  | { readonly kind: 'limited'; readonly bucket: TokenBucket; readonly retryAfterMs: Millis };

/**
 * Takes one request from an allowance.
 *
 * @param allowance - allowance after the last request
 * @param perSecond - requests that refill in a second
 * @param burst - largest allowance
 * @param now - current instant
 * @returns whether the request may pass, with the next allowance
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
