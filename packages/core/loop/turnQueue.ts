import type { Millis } from '../clock.js';

/** Steps of work that share a limited time in each turn of the event loop. */
export interface TurnQueue {
  /**
   * Adds a step, unless it waits already. It runs at once if nothing waits and this turn has time left,
   * otherwise in a later turn, in the order in which the steps were added.
   */
  readonly run: (step: () => void) => void;
  /** Counts the steps that wait for a later turn. */
  readonly countWaiting: () => number;
}

/**
 * Time for the steps of a turn. Sockets are read, timers run and each listener accepts one connection only
 * between two turns.
 */
export const TURN_STEPS_MS: Millis = 1;

/**
 * Creates a queue of steps. Without it, a turn in which all sockets have data handles all of them, and
 * whoever asks for the readiness of the daemon waits for seconds.
 *
 * @param now - returns the current instant
 * @returns the empty queue
 */
export const createTurnQueue = (now: () => Millis = () => performance.now()): TurnQueue => {
  const waiting = new Set<() => void>();
  let turn: 'none' | 'open' = 'none';
  let endsAt: Millis = 0;
  let running: 'no' | 'yes' = 'no';

  const runWaiting = (): void => {
    if (running === 'yes') return;
    running = 'yes';
    try {
      for (const step of waiting) {
        if (now() >= endsAt) return;
        waiting.delete(step);
        step();
      }
    } finally {
      running = 'no';
    }
  };

  const openTurn = (): void => {
    turn = 'open';
    endsAt = now() + TURN_STEPS_MS;
    setImmediate(endTurn);
  };

  const endTurn = (): void => {
    turn = 'none';
    if (waiting.size === 0) return;
    openTurn();
    runWaiting();
  };

  return {
    run: (step) => {
      waiting.add(step);
      if (turn === 'none') openTurn();
      runWaiting();
    },
    countWaiting: () => waiting.size,
  };
};
