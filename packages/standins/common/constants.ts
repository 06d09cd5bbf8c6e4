/** Larger than any message of the system, so that a stand-in never rejects one for its size. */
export const MAX_BODY_BYTES = 16 * 1024 * 1024;
