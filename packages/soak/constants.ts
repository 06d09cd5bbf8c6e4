/** Gateways, worker slots of each service and data centres of a soak. */
export const GATEWAYS = 3;
export const ENGINES = 3;
export const LEDGERS = 3;
export const DATA_CENTRES = 3;

/** Callers; each sends one request after the other on a connection that it keeps. */
export const CALLERS = 12;

/** Mean pause between two faults at the fastest pace. */
export const FAULT_GAP_MS = 500;

/** Bounds of a fault's duration. */
export const MIN_FAULT_MS = 200;
export const MAX_FAULT_MS = 2_500;

/** Time without faults at the end, in which the system has to serve again. */
export const RECOVERY_MS = 6_000;

/** Part of the recovery after which requests have to be served. */
export const RECOVERED_MS = 4_500;

/** Share of the requests of that time that has to be served. */
export const RECOVERED_SHARE = 0.9;

/** Time without a disturbance after which bounds of time hold. */
export const CONTACT_MS = 3_000;

/** Time in which a leaving worker and a revoked key still count as before. */
export const APPLY_MS = 2_000;

/** The same for a data centre that was taken out. */
export const EVACUATE_MS = 5_000;

/** Time from the order to end until a gateway's process has to be gone. */
export const GRACE_MS = 8_000;

/** Time after a request's last byte in which a draining gateway may close its connection unread. */
export const LOSS_SLACK_MS = 200;

/** Time that callers wait for whole answers and for streams. */
export const CALL_PATIENCE_MS = 1_000;
export const STREAM_PATIENCE_MS = 8_000;

/** Delay of a slow link. */
export const LINK_DELAY_MS = 150;
