/** Interval of the lease's ticks; the lease treats 500 ms without an event as a process pause. */
export const LEASE_TICK_MS = 125;
