import type { Millis } from '../../core/clock.js';
import {
  checkPlacement,
  decideSuspicion,
  initSuspicion,
} from '../../decisions/quarantine/suspicion.js';
import type {
  PlacementRule,
  RequestContent,
  SuspicionEffect,
  SuspicionEvent,
  SuspicionState,
} from '../../decisions/quarantine/types.js';

/**
 * Mutable suspicion state. The decisions about a request update it at many points without returning
 * its effects, so the effects are collected here and handled at the end of the event.
 */
export interface Suspicions {
  readonly checkPlacement: (content: RequestContent, now: Millis) => PlacementRule;
  readonly apply: (event: SuspicionEvent) => void;
  /** Returns the effects collected since the last call, and clears them. */
  readonly takeEffects: () => readonly SuspicionEffect[];
}

/**
 * Creates a suspicion state without suspects.
 *
 * @returns the state with its operations
 */
export const createSuspicions = (): Suspicions => {
  let state: SuspicionState = initSuspicion();
  let effects: SuspicionEffect[] = [];
  return {
    checkPlacement: (content, now) => checkPlacement(state, content, now),
    apply: (event) => {
      const step = decideSuspicion(state, event);
      state = step.state;
      effects.push(...step.effects);
    },
    takeEffects: () => {
      const pending = effects;
      effects = [];
      return pending;
    },
  };
};
