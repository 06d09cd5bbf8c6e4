import type { EngineSettings } from '../types.js';
import type { Millis } from '../../../core/clock.js';

type RampSettings = Pick<EngineSettings, 'coldConcurrency' | 'warmConcurrency' | 'rampMs'>;

/**
 * Number of sequences that an engine sustains. Beyond it, a cold engine slows down sharply, while a
 * warm one queues the excess.
 */
export type ConcurrencyLimit =
  { readonly kind: 'cold'; readonly concurrency: number } | { readonly kind: 'warm' };

/**
 * Computes the concurrency limit of an engine, which grows linearly after its warm-up.
 *
 * @param readyAt - end of the warm-up
 * @param settings - limits at both ends of the ramp and its duration
 * @param now - current instant
 * @returns the limit of a cold engine, or `warm` after the ramp
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
