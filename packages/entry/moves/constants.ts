/** Period in which shares follow time and evidence. */
export const TICK_MS = 250;
