import type { LeaseState } from '../../decisions/membership/leaseTypes.js';

/** Lease and sequence of the heartbeats of this incarnation. */
export interface HeartbeatsState {
  readonly lease: LeaseState;
  readonly sequence: number;
}
