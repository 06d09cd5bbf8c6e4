import type { GatewayEffect } from '../effects.js';

/** Sends a report to the other daemons at once, which depend on what has changed. */
export const REPORT_TO_PEERS: GatewayEffect = {
  kind: 'post',
  event: { to: 'peers', kind: 'report-changed' },
};
