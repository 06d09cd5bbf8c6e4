/** Time in milliseconds: a duration, or an instant since the Unix epoch. */
export type Millis = number;

/** Source of the current time. */
export interface Clock {
  /** Returns the current instant in milliseconds since the Unix epoch. */
  readonly now: () => Millis;
}

/** Clock whose time changes only through `advance`. */
export interface VirtualClock extends Clock {
  /** Moves the clock forward by `duration` milliseconds. */
  readonly advance: (duration: Millis) => void;
}

/**
 * Creates the clock of a running process.
 *
 * The instant is the wall-clock time at creation plus the monotonic time elapsed since. A step of
 * the wall clock therefore never extends a lease or makes a deadline pass early.
 *
 * @returns a monotonic clock
 */
export const createSystemClock = (): Clock => {
  const origin = Date.now() - performance.now();
  return { now: () => origin + performance.now() };
};

/**
 * Creates a clock for tests.
 *
 * @param start - first instant in milliseconds
 * @returns a clock whose time changes only when it is advanced
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

/**
 * Creates the clock of the time of day, which may be stepped in either direction. It also counts the
 * time for which the machine was suspended, which the monotonic clock may leave out.
 *
 * @returns the clock
 */
export const createWallClock = (): Clock => ({ now: () => Date.now() });
