/** V8 copies substrings up to this length; a longer one keeps the text that it was cut from. */
const MAX_COPIED_LENGTH = 12;

/**
 * Limits a text that is kept longer than what it was received with, as a header or an event. The result
 * shares no memory with the text.
 *
 * @param text - text from outside
 * @param maxLength - number of characters that are kept
 * @returns the beginning of the text
 */
export const limitText = (text: string, maxLength: number): string =>
  text.length <= MAX_COPIED_LENGTH ? text : Buffer.from(text.slice(0, maxLength)).toString();
