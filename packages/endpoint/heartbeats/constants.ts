/** Interval of the lease's ticks; 500 ms without an event count as a pause of the process. */
export const LEASE_TICK_MS = 125;
