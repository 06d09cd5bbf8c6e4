import type { NonceTable } from '../../decisions/idempotency/nonces.js';
import type { CallId, ServiceCall } from '../types.js';
import type { Millis } from '../../core/clock.js';

export interface RunningCall {
  readonly call: ServiceCall;
  readonly startedAt: Millis;
}

/** Calls of the plain service; the maps are owned by the `calls` child and updated in place. */
export interface CallsState {
  readonly running: Map<CallId, RunningCall>;
  readonly nonces: NonceTable;
}
