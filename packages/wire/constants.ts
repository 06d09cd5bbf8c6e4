/** Version of the messages between our processes. */
export const MESSAGE_FORMAT = 1;

/** Largest message between our processes. */
export const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

/** Time for which a resume ticket is good after its stream began. */
export const TICKET_LIFETIME_MS = 3_600_000;
