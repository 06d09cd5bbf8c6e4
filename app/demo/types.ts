import type { Millis } from '../../packages/core/clock.js';

/** One thing that the demo showed. */
export interface StepReport {
  readonly step: 'generation' | 'lookup' | 'non-repeatable-call';
  readonly durationMs: Millis;
  /** Requests of the step, for the time line. */
  readonly requestIds: readonly string[];
  /** Sentence for people. */
  readonly text: string;
}
