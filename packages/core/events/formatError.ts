/**
 * Formats an error for an event.
 *
 * @param error - anything that was thrown
 * @returns its stack if it has one, or its text
 */
export const formatError = (error: unknown): string =>
  error instanceof Error ? (error.stack ?? error.message) : String(error);
