/** Period of looking at the clock; the lease takes a silence of 500 ms for a pause of the process. */
export const LEASE_TICK_MS = 125;
