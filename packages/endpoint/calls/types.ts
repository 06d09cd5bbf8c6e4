import type { NonceTable } from '../../decisions/idempotency/nonces.js';
import type { CallId, ServiceCall } from '../types.js';
import type { Millis } from '../../core/clock.js';

/** A call that was sent to the service and has not been answered. */
export interface RunningCall {
  readonly call: ServiceCall;
  readonly startedAt: Millis;
}

/**
 * Running calls to the plain service, and the nonces of this incarnation. The `calls` child owns the
 * map of calls and updates it in place.
 */
export interface CallsState {
  readonly running: Map<CallId, RunningCall>;
  readonly nonces: NonceTable;
}
