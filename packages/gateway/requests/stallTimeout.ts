import { MIN_STALL_TIMEOUT_MS, STALL_TARGET_FACTOR } from './constants.js';
import type { Forwarding } from './types.js';
import type { Millis } from '../../core/clock.js';

/**
 * Computes the time without an event after which a stream is continued at another endpoint.
 *
 * @param forwarding - request with its route
 * @returns the timeout
 */
export const computeStallTimeout = ({ route }: Forwarding): Millis =>
  Math.max(MIN_STALL_TIMEOUT_MS, route.targetMs * STALL_TARGET_FACTOR);
