import { takeFromBucket } from '../../common/rateLimit.js';
import type { TokenBucket } from '../../common/rateLimit.js';
import type { PlatformEffect, PlatformSettings, WeightsEvent } from '../types.js';
import type { Clock, Millis } from '../../../core/clock.js';
import type { Step } from '../../../core/step.js';
import { toStep } from '../../../core/step.js';
import type { ChildLogic } from '../../../core/supervision/types.js';

/** State of the weight store: its rate limit. */
export interface WeightsState {
  readonly bucket: TokenBucket;
}

/**
 * Decides one fetch from the weight store.
 *
 * @param state - rate limit before the fetch
 * @param event - model and version to fetch
 * @param settings - rate and burst of the limit
 * @param now - current instant
 * @returns the next state and the effects
 */
export const decideWeights = (
  state: WeightsState,
  event: WeightsEvent,
  settings: PlatformSettings,
  now: Millis,
): Step<WeightsState, PlatformEffect> => {
  const { weightsPerSecond, weightsBurst } = settings;
  const decision = takeFromBucket(state.bucket, weightsPerSecond, weightsBurst, now);
  const next = { bucket: decision.bucket };
  const { reply, model, version } = event;
  if (decision.kind === 'allowed') {
    return toStep(next, {
      kind: 'answer',
      reply,
      answer: { status: 200, body: { model, version } },
    });
  }
  const { retryAfterMs } = decision;
  const headers = { 'retry-after': Math.ceil(retryAfterMs / 1_000).toString() };
  const body = { error: 'too many weight fetches', retryAfterMs };
  return toStep(next, { kind: 'answer', reply, answer: { status: 429, headers, body } });
};

/**
 * Creates the child that owns the weight store.
 *
 * @param settings - rate and burst of the limit
 * @param clock - clock of the rate limit
 * @returns the decisions of the child
 */
export const createWeightsChild = (
  settings: PlatformSettings,
  clock: Clock,
): ChildLogic<WeightsState, WeightsEvent, PlatformEffect> => ({
  init: () => toStep({ bucket: { left: settings.weightsBurst, at: clock.now() } }),
  decide: (state, event) => decideWeights(state, event, settings, clock.now()),
});
