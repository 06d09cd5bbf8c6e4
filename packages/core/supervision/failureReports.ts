import type { ChildFailure } from './types.js';
import type { EventLog } from '../events/eventLog.js';
import { formatError } from '../events/formatError.js';

/** Reason why a daemon ends that an error escaped its supervisor tree. */
export interface FaultReason {
  readonly kind: 'fault';
  readonly error: unknown;
}

/** Receivers of the failures of a daemon. */
export interface FailureReports {
  /** Logs that a child failed, which its supervisor handles. */
  readonly onFailure: (failure: ChildFailure) => void;
  /** Logs an error that escaped the supervisor tree, and ends the daemon. */
  readonly onFault: (error: unknown) => void;
}

/**
 * Creates the receivers of the failures of a daemon.
 *
 * @param events - log of the daemon
 * @param onEnd - ends the daemon
 * @returns the receivers
 */
export const createFailureReports = (
  events: EventLog,
  onEnd: (reason: FaultReason) => void,
): FailureReports => ({
  onFailure: ({ child, error, rebuildsFrom }) => {
    events.record('child-failed', { data: { child, rebuildsFrom, error: formatError(error) } });
  },
  onFault: (error) => {
    events.record('daemon-fault', { data: { error: String(error) } });
    onEnd({ kind: 'fault', error });
  },
});
