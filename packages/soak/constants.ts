/** Gateways, worker slots of each service and data centres of a soak. */
export const GATEWAY_COUNT = 3;
export const ENGINE_COUNT = 3;
export const LEDGER_COUNT = 3;
export const DATA_CENTRE_COUNT = 3;

/** Callers; each sends one request after the other on a connection that it keeps. */
export const CALLER_COUNT = 12;

/** Mean pause between two faults at the fastest pace. */
export const FAULT_GAP_MS = 500;

/** Bounds of a fault's duration. */
export const MIN_FAULT_MS = 200;
export const MAX_FAULT_MS = 2_500;

/** Time without faults at the end, in which the system has to serve again. */
export const RECOVERY_MS = 6_000;

/** Part of the recovery after which requests have to be served. */
export const RECOVERY_DEADLINE_MS = 4_500;

/** Share of the requests of that time that has to be served. */
export const MIN_SERVED_SHARE = 0.9;

/** Time without a disturbance after which bounds of time hold. */
export const SETTLING_MS = 3_000;

/** Time in which a leaving worker and a revoked key still count as before. */
export const PROPAGATION_MS = 2_000;

/** The same for a data centre that was taken out. */
export const EVACUATION_MS = 5_000;

/** Time from the order to end until a gateway's process has to be gone. */
export const GRACE_MS = 8_000;

/** Time after a request's last byte in which a draining gateway may close its connection unread. */
export const UNREAD_CLOSE_MS = 200;

/** Time that callers wait for whole answers and for streams. */
export const CALL_TIMEOUT_MS = 1_000;
export const STREAM_TIMEOUT_MS = 8_000;

/** Delay of a slow link. */
export const LINK_DELAY_MS = 150;
