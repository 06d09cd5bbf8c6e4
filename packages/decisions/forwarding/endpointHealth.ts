import {
  OVERLOAD_BACKOFF_MS,
  FAILURE_RATE_HALF_LIFE_MS,
  HEALTH_SAMPLE_WEIGHT,
  UNREACHABLE_BACKOFF_MS,
} from './constants.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';

/** Outcome of an attempt, as far as it affects the health of its endpoint. */
export type AttemptObservation =
  | { readonly kind: 'answered'; readonly durationMs: Millis }
  /** The endpoint refused the request for lack of capacity. */
  | { readonly kind: 'full' }
  /** The endpoint returned an error or an invalid answer, broke the connection or timed out. */
  | { readonly kind: 'failed' }
  /** The connection could not be established. */
  | { readonly kind: 'unreachable' };

/** Health of one endpoint as this daemon observed it. */
export interface EndpointHealth {
  /** Moving average of the share of failed attempts at `observedAt`; it decays from then on. */
  readonly failureRate: number;
  readonly observedAt: Millis;
  /** Moving average of the duration of whole answers; null before the first. */
  readonly answerMs: Millis | null;
  /** Instant until which no requests are sent to the endpoint. */
  readonly avoidUntil: Millis;
}

export const NEW_ENDPOINT_HEALTH: EndpointHealth = {
  failureRate: 0,
  observedAt: 0,
  answerMs: null,
  avoidUntil: 0,
};

const updateMean = (mean: number, sample: number): number =>
  mean + (sample - mean) * HEALTH_SAMPLE_WEIGHT;

/**
 * Computes the failure rate at an instant. It decays without new observations, so that an endpoint
 * that received no requests because of its failures is tried again.
 *
 * @param health - observed health
 * @param now - current instant
 * @returns expected share of failed attempts
 */
export const computeFailureRate = (health: EndpointHealth, now: Millis): number =>
  health.failureRate * 0.5 ** (Math.max(0, now - health.observedAt) / FAILURE_RATE_HALF_LIFE_MS);

const addSample = (health: EndpointHealth, sample: 0 | 1, now: Millis): EndpointHealth => ({
  ...health,
  failureRate: updateMean(computeFailureRate(health, now), sample),
  observedAt: now,
});

/**
 * Updates the health of an endpoint after an attempt.
 *
 * @param health - health before the attempt
 * @param observation - how the attempt ended
 * @param now - current instant
 * @returns the updated health
 */
export const observeAttempt = (
  health: EndpointHealth,
  observation: AttemptObservation,
  now: Millis,
): EndpointHealth => {
  switch (observation.kind) {
    case 'answered': {
      const { answerMs } = health;
      const mean =
        answerMs === null ? observation.durationMs : updateMean(answerMs, observation.durationMs);
      return { ...addSample(health, 0, now), answerMs: mean };
    }
    case 'full':
      return { ...health, avoidUntil: Math.max(health.avoidUntil, now + OVERLOAD_BACKOFF_MS) };
    case 'failed':
      return addSample(health, 1, now);
    case 'unreachable':
      return { ...addSample(health, 1, now), avoidUntil: now + UNREACHABLE_BACKOFF_MS };
    default:
      return assertNever(observation);
  }
};
