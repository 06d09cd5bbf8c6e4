import type { Millis } from '../clock.js';

/** Steps of work that share a limited time in each turn of the event loop. */
export interface TurnQueue {
  /**
   * Adds a step, unless it waits already. It runs at once if nothing waits and this turn has time left,
   * otherwise in a later turn, in the order in which the steps were added.
   */
  readonly run: (step: () => void) => void;
  /**
   * Leaves this turn to others, but for one step: a listener accepts one connection in a turn, and more may
   * wait.
   */
  readonly yieldTurn: () => void;
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
  /** Whether the next turn is left to others. */
  let next: 'full' | 'yielded' = 'full';

  const runFirst = (): void => {
    const [step] = waiting;
    if (step === undefined) return;
    waiting.delete(step);
    step();
  };

  const runInTime = (): void => {
    while (waiting.size > 0 && now() < endsAt) runFirst();
  };

  const runSteps = (run: () => void): void => {
    if (running === 'yes') return;
    running = 'yes';
    try {
      run();
    } finally {
      running = 'no';
    }
  };

  const openTurn = (): void => {
    turn = 'open';
    endsAt = next === 'yielded' ? 0 : now() + TURN_STEPS_MS;
    next = 'full';
    setImmediate(endTurn);
  };

  const endTurn = (): void => {
    turn = 'none';
    if (waiting.size === 0) return;
    openTurn();
    // Work goes on however many connections are opened.
    runSteps(() => {
      runFirst();
      runInTime();
    });
  };

  return {
    run: (step) => {
      waiting.add(step);
      if (turn === 'none') openTurn();
      runSteps(runInTime);
    },
    yieldTurn: () => {
      next = 'yielded';
      endsAt = 0;
    },
    countWaiting: () => waiting.size,
  };
};
