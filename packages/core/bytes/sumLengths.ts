/**
 * Sums the lengths of parts.
 *
 * @param parts - parts of a body
 * @returns the length of the body in bytes
 */
export const sumLengths = (parts: readonly Uint8Array[]): number =>
  parts.reduce((sum, { length }) => sum + length, 0);
