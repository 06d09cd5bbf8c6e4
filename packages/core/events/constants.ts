/** Events that a process keeps for the time line. */
export const EVENT_RING_CAPACITY = 8_192;
