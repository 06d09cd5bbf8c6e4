/** Time within which an endpoint daemon must answer the opening of a link. */
export const LINK_OPEN_TIMEOUT_MS = 2_000;
