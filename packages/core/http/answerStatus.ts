/** Bounds of the statuses that HTTP defines (RFC 9110, section 15). */
const MIN_STATUS = 100;
const MAX_STATUS = 599;

/**
 * Reports whether a status makes a message an answer. The parser of node:http accepts any three digits;
 * what a server sends with others proves nothing about the request, whatever its headers say.
 *
 * @param status - status of the message
 * @returns true for an answer
 */
export const isAnswerStatus = (status: number): boolean =>
  status >= MIN_STATUS && status <= MAX_STATUS;
