/** Steps of a simulated log and its daemons, faults included. */
export type ActionKind =
  | 'propose'
  | 'quarantine'
  | 'end-move'
  | 'notify-move'
  | 'later-format'
  | 'plan-snapshot'
  | 'append'
  | 'read'
  | 'outage'
  | 'expire-records'
  | 'restart'
  | 'heartbeat'
  | 'send-snapshot'
  | 'deliver';

export interface SimulationAction {
  readonly kind: ActionKind;
  /** Random number from which the action derives its choices. */
  readonly pick: number;
}
