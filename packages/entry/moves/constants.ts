/** Interval at which shares are updated from time and evidence. */
export const TICK_MS = 250;
