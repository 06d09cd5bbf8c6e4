import {
  CALLER_LEAVING_MS,
  MIN_CALLER_PATIENCE_MS,
  MIN_STALL_TIMEOUT_MS,
  PATIENCE_GAP_FACTOR,
  PATIENCE_TARGET_FACTOR,
  STALL_TARGET_FACTOR,
} from './constants.js';
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

/**
 * Computes the time without an event after which the caller of a stream has left.
 *
 * @param forwarding - request with its route
 * @returns the time since the newest event
 */
export const computeCallerPatience = ({ route }: Forwarding): Millis =>
  CALLER_LEAVING_MS +
  Math.max(
    MIN_CALLER_PATIENCE_MS,
    route.targetMs * PATIENCE_TARGET_FACTOR,
    (route.gapTargetMs ?? 0) * PATIENCE_GAP_FACTOR,
  );
