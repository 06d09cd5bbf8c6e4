import type { ConfigurationState, ConfigurationView } from '../../decisions/configuration/types.js';
import type { LeaseState } from '../../decisions/membership/leaseTypes.js';

/** Lease of this daemon, and the configuration received in the answers to its heartbeats. */
export interface HeartbeatsState {
  readonly lease: LeaseState;
  /** Sequence number of the latest heartbeat. */
  readonly sequence: number;
  readonly configuration: ConfigurationState;
  readonly view: ConfigurationView;
}
