import type { EngineSettings } from '../types.js';
import type { Millis } from '../../../core/clock.js';

type RampSettings = Pick<EngineSettings, 'coldConcurrency' | 'warmConcurrency' | 'rampMs'>;

/** Sequences that an engine bears; a warm engine queues what is too much. */
export type ConcurrencyLimit =
  { readonly kind: 'cold'; readonly concurrency: number } | { readonly kind: 'warm' };

/**
 * Computes what an engine bears after its warm-up.
 *
 * @param readyAt - end of the warm-up
 * @param settings - ramp
 * @param now - current instant
 * @returns the number of sequences while the engine is cold
 */
export const computeConcurrencyLimit = (
  readyAt: Millis,
  settings: RampSettings,
  now: Millis,
): ConcurrencyLimit => {
  const elapsed = Math.max(0, now - readyAt);
  if (elapsed >= settings.rampMs) return { kind: 'warm' };
  const increase =
    ((settings.warmConcurrency - settings.coldConcurrency) * elapsed) / settings.rampMs;
  return { kind: 'cold', concurrency: Math.floor(settings.coldConcurrency + increase) };
};
