/** Characters of a header name. The parser of node:http also accepts spaces and an empty name. */
const HEADER_NAME = /^[\w!#$%&'*+.^`|~-]+$/;

/**
 * Characters of a request target. The parser of node:http also accepts tabs and form feeds, and on arm64
 * bytes above ASCII, which it refuses on x86-64.
 */
const REQUEST_TARGET = /^[\x21-\x7e]+$/;

/**
 * Reports whether the names of received headers can be sent on. Sending any other name throws.
 *
 * @param rawHeaders - alternating names and values
 * @returns true when all names are tokens of HTTP
 */
export const hasValidNames = (rawHeaders: readonly string[]): boolean =>
  rawHeaders.every((text, index) => index % 2 === 1 || HEADER_NAME.test(text));

/**
 * Reports whether a received request target can be sent on. Sending any other target throws.
 *
 * @param target - path with its query, or another form of the target
 * @returns true when the target is valid
 */
export const isValidTarget = (target: string): boolean => REQUEST_TARGET.test(target);
