import { FULL_PAUSE_MS, HEALTH_HALF_LIFE_MS, HEALTH_WEIGHT, UNREACHABLE_MS } from './constants.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';

/** How one attempt at an endpoint ended, as far as it speaks for or against the endpoint. */
export type AttemptSign =
  | { readonly kind: 'answered'; readonly durationMs: Millis }
  /** It refused the request for want of room. */
  | { readonly kind: 'full' }
  /** It failed the request, broke it off, sent bytes that are no answer, or stayed silent. */
  | { readonly kind: 'failed' }
  /** No connection could be made. */
  | { readonly kind: 'unreachable' };

/** What this daemon has seen of one endpoint. */
export interface EndpointHealth {
  /** Share of failed attempts at `observedAt`; it fades from then on. */
  readonly failureRate: number;
  readonly observedAt: Millis;
  /** Mean duration of whole answers; null before the first. */
  readonly answerMs: Millis | null;
  /** Until then no request is sent to it. */
  readonly avoidUntil: Millis;
}

export const NEW_ENDPOINT_HEALTH: EndpointHealth = {
  failureRate: 0,
  observedAt: 0,
  answerMs: null,
  avoidUntil: 0,
};

const updateMean = (mean: number, sample: number): number => mean + (sample - mean) * HEALTH_WEIGHT;

/**
 * Computes the failure rate at an instant. It fades while nothing is observed, so that an endpoint
 * that got no requests because of its failures is tried again.
 *
 * @param health - what was observed
 * @param now - current instant
 * @returns share of attempts that are expected to fail
 */
export const computeFailureRate = (health: EndpointHealth, now: Millis): number =>
  health.failureRate * 0.5 ** (Math.max(0, now - health.observedAt) / HEALTH_HALF_LIFE_MS);

const addSample = (health: EndpointHealth, sample: 0 | 1, now: Millis): EndpointHealth => ({
  ...health,
  failureRate: updateMean(computeFailureRate(health, now), sample),
  observedAt: now,
});

/**
 * Adds the end of one attempt to what is known of an endpoint.
 *
 * @param health - state before
 * @param sign - how the attempt ended
 * @param now - current instant
 * @returns state after
 */
export const observeAttempt = (
  health: EndpointHealth,
  sign: AttemptSign,
  now: Millis,
): EndpointHealth => {
  switch (sign.kind) {
    case 'answered': {
      const { answerMs } = health;
      const mean = answerMs === null ? sign.durationMs : updateMean(answerMs, sign.durationMs);
      return { ...addSample(health, 0, now), answerMs: mean };
    }
    case 'full':
      return { ...health, avoidUntil: Math.max(health.avoidUntil, now + FULL_PAUSE_MS) };
    case 'failed':
      return addSample(health, 1, now);
    case 'unreachable':
      return { ...addSample(health, 1, now), avoidUntil: now + UNREACHABLE_MS };
    default:
      return assertNever(sign);
  }
};
