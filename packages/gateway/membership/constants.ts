/** How long a removal is held back while it may only mean that the store was away. */
export const DOUBTFUL_REMOVAL_MS = 2_500;
