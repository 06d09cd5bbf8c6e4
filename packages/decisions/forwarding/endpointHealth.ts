import {
  HEALTH_WEIGHT,
  SUSPECT_FAILURE_RATE,
  SUSPECT_PROBE_MS,
  UNREACHABLE_MS,
} from './constants.js';
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
  readonly failureRate: number;
  /** Mean duration of whole answers; null before the first. */
  readonly answerMs: Millis | null;
  /** Until then no request is sent to it. */
  readonly avoidUntil: Millis;
  /** Failures without an answer in between. */
  readonly failuresInRow: number;
}

export const NEW_ENDPOINT_HEALTH: EndpointHealth = {
  failureRate: 0,
  answerMs: null,
  avoidUntil: 0,
  failuresInRow: 0,
};

/** Wait of an endpoint that refused for want of room, before it is offered more. */
const FULL_PAUSE_MS = 40;

const mixRate = (rate: number, sample: number): number =>
  rate + (sample - rate) * HEALTH_WEIGHT;

const mixDuration = (mean: Millis | null, sample: Millis): Millis =>
  mean === null ? sample : mean + (sample - mean) * HEALTH_WEIGHT;

const addFailure = (health: EndpointHealth, now: Millis): EndpointHealth => {
  const failureRate = mixRate(health.failureRate, 1);
  const failuresInRow = health.failuresInRow + 1;
  const isSuspect = failureRate > SUSPECT_FAILURE_RATE;
  return {
    ...health,
    failureRate,
    failuresInRow,
    avoidUntil: isSuspect ? now + SUSPECT_PROBE_MS : health.avoidUntil,
  };
};

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
    case 'answered':
      return {
        ...health,
        failureRate: mixRate(health.failureRate, 0),
        failuresInRow: 0,
        answerMs: mixDuration(health.answerMs, sign.durationMs),
      };
    case 'full':
      return { ...health, avoidUntil: Math.max(health.avoidUntil, now + FULL_PAUSE_MS) };
    case 'failed':
      return addFailure(health, now);
    case 'unreachable':
      return { ...addFailure(health, now), avoidUntil: now + UNREACHABLE_MS };
    default:
      return assertNever(sign);
  }
};
