/** Larger than the largest message of the system, so that a stand-in never refuses it first. */
export const MAX_BODY_BYTES = 16 * 1024 * 1024;
