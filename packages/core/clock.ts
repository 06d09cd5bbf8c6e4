/** Time in milliseconds: a duration, or an instant since the Unix epoch. */
export type Millis = number;

/** Source of the current time. */
export interface Clock {
  /** Returns the current instant in milliseconds since the Unix epoch. */
  readonly now: () => Millis;
}

/** Clock that moves only when it is told to. */
export interface VirtualClock extends Clock {
  /** Moves the clock forward by `duration` milliseconds. */
  readonly advance: (duration: Millis) => void;
}

/**
 * Creates the clock of a running process.
 *
 * The instant is the wall clock at creation plus the monotonic time since, so that a step of the
 * wall clock never makes a lease live longer or a deadline pass early.
 *
 * @returns a clock that never goes back
 */
export const createSystemClock = (): Clock => {
  const origin = Date.now() - performance.now();
  return { now: () => origin + performance.now() };
};

/**
 * Creates a clock for decisions under test.
 *
 * @param start - first instant in milliseconds
 * @returns a clock that stands still until it is advanced
 */
export const createVirtualClock = (start: Millis = 0): VirtualClock => {
  let current = start;
  return {
    now: () => current,
    advance: (duration) => {
      current += duration;
    },
  };
};
