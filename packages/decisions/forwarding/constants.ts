/** Windows kept of the retry budget, each half as long as the budget's own window. */
export const BUDGET_SLICES = 20;

/** Part of the shared retry budget that is used; the rest covers peers that were not counted. */
export const BUDGET_USE = 0.8;

/** Time in which a connection to an endpoint has to be made. */
export const CONNECT_TIMEOUT_MS = 250;

/** Largest event of a stream that is kept until its end has come. */
export const MAX_EVENT_BYTES = 256 * 1024;

/** Output tokens assumed of a generation whose caller estimates none. */
export const DEFAULT_OUTPUT_TOKENS = 256;

/** Crashes of different endpoints after which a request is refused. */
export const CRASHES_TO_REFUSE = 3;

/** How long the crashes of a request are remembered. */
export const CRASH_MEMORY_MS = 120_000;

/** Requests whose crashes are remembered; the oldest is dropped. */
export const MAX_CRASH_RECORDS = 2_000;

/** How long a failed connection attempt keeps an endpoint out of use. */
export const UNREACHABLE_MS = 1_000;

/** Weight of the newest answer in the rates of an endpoint. */
export const HEALTH_WEIGHT = 0.15;

/** Time in which an observed failure rate halves while nothing is observed. */
export const HEALTH_HALF_LIFE_MS = 4_000;

/** Pause of an endpoint that refused for want of room, before it is offered more. */
export const FULL_PAUSE_MS = 40;

/** Weight of an output token in the worth of a generation, against a token of its prompt. */
export const OUTPUT_TOKEN_WORTH = 10;
