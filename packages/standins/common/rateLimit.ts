import type { Millis } from '../../core/clock.js';

/** Allowance of a rate limit that refills evenly. */
export interface Allowance {
  readonly left: number;
  readonly at: Millis;
}

export type RateDecision =
  | { readonly kind: 'allowed'; readonly allowance: Allowance }
  | { readonly kind: 'limited'; readonly allowance: Allowance; readonly retryAfterMs: Millis };

/**
 * Takes one request from an allowance.
 *
 * @param allowance - allowance after the last request
 * @param perSecond - requests that refill in a second
 * @param burst - largest allowance
 * @param now - current instant
 * @returns whether the request may pass, with the next allowance
 */
export const takeAllowance = (
  allowance: Allowance,
  perSecond: number,
  burst: number,
  now: Millis,
): RateDecision => {
  const left = Math.min(burst, allowance.left + ((now - allowance.at) / 1_000) * perSecond);
  if (left >= 1) return { kind: 'allowed', allowance: { left: left - 1, at: now } };
  return {
    kind: 'limited',
    allowance: { left, at: now },
    retryAfterMs: Math.ceil(((1 - left) / perSecond) * 1_000),
  };
};
