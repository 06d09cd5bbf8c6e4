/** Number of recent events that a process stores in memory for the time line. */
export const EVENT_RING_CAPACITY = 8_192;
