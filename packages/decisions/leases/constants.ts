/**
 * Time that another daemon waits beyond the length of a lease, for timers that fire early and clocks
 * that run at slightly different rates.
 */
export const LEASE_MARGIN_MS = 250;

/** Time between two renewals, as a share of the length of a lease. */
export const RENEWAL_SHARE = 1 / 3;
