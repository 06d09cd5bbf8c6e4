import type { QueueSettings } from './types.js';

/** Bounds for a daemon whose settings name none; a longer queue would only delay the refusal. */
export const DEFAULT_QUEUE_SETTINGS: QueueSettings = {
  maxWaiting: 2_048,
  maxWaitingPerClass: 1_024,
  retryAfterMs: 1_000,
};
