/**
 * Progress or fault of the simulated system. `misdeliver` delivers a message to another caller, and
 * `cut` breaks a link. `pick` selects an object modulo their number, or the time for `advance`.
 */
export interface SimulationAction {
  readonly kind:
    | 'produce'
    | 'deliver'
    | 'drop'
    | 'duplicate'
    | 'misdeliver'
    | 'advance'
    | 'cut'
    | 'drain-entry'
    | 'kill-entry'
    | 'kill-endpoint';
  readonly pick: number;
}
