import type { Millis } from '../../packages/core/clock.js';

/** Result of one step of the demo. */
export interface StepReport {
  readonly step: 'generation' | 'lookup' | 'non-repeatable-call';
  readonly durationMs: Millis;
  /** Requests of the step; the timeline shows their events. */
  readonly requestIds: readonly string[];
  /** Summary of the step for the text output. */
  readonly text: string;
}
