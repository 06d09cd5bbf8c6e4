/** Number of recent events that a process stores in memory for the time line. */
export const EVENT_RING_CAPACITY = 8_192;

/** Limit of one text of an event in characters; callers and endpoints choose some of them. */
export const MAX_EVENT_TEXT_LENGTH = 256;
