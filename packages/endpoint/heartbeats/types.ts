import type { ConfigurationState, ConfigurationView } from '../../decisions/configuration/types.js';
import type { LeaseState } from '../../decisions/membership/leaseTypes.js';

/** Lease, sequence of the heartbeats, and the configuration that their answers bring. */
export interface HeartbeatsState {
  readonly lease: LeaseState;
  readonly sequence: number;
  readonly configuration: ConfigurationState;
  readonly view: ConfigurationView;
}
