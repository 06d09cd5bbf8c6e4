/** Numbers of gateways, of worker slots of each service, and of data centres. */
export const GATEWAY_COUNT = 3;
export const ENGINE_COUNT = 3;
export const LEDGER_COUNT = 3;
export const DATA_CENTRE_COUNT = 3;

/**
 * Number of callers, and of those beside planned work alone, which pause. Each sends one request after
 * the other on a keep-alive connection.
 */
export const CALLER_COUNT = 12;
export const PLANNED_CALLER_COUNT = 24;

/** Mean gap between two faults at the highest fault rate, in ms. */
export const FAULT_GAP_MS = 500;

/** Bounds on the duration of a fault, in ms. */
export const MIN_FAULT_MS = 200;
export const MAX_FAULT_MS = 2_500;

/** Bounds on the silence of a sound worker, in ms. */
export const MIN_SILENCE_MS = 400;
export const MAX_SILENCE_MS = 1_800;

/** Mean gap between two silences beside other faults, in ms. */
export const SILENCE_GAP_MS = 2_000;

/**
 * First seed whose plan has statements of workers and hostile callers. Earlier seeds are regression
 * cases that were played without them.
 */
export const FIRST_STATING_SEED = 43_000;

/** Mean gaps between two statements of workers and between two groups of hostile callers, in ms. */
export const STATEMENT_GAP_MS = 2_000;
export const HOSTILE_GAP_MS = 4_000;

/** Bounds on the time for which a worker states that it leaves before it does, in ms. */
export const MIN_LEAVING_STATED_MS = 1_000;
export const MAX_LEAVING_STATED_MS = 6_000;

/**
 * Time for which a worker refuses requests at most, in ms, and values of `Retry-After` that it gives:
 * valid ones in seconds, and those that state no time.
 */
export const MAX_REST_MS = 1_500;
export const REST_VALUES = ['1', '2', '3', '0.8', '1.5', '2.75'] as const;
export const ODD_REST_VALUES = [
  '0',
  '-2',
  'soon',
  '1e9',
  '1;2',
  'Wed, 21 Oct 2099 07:28:00 GMT',
] as const;

/** Time after a refusal with `Retry-After` in which requests may still arrive, in ms. */
export const REST_SLACK_MS = 500;

/** Requests of one gateway that may reach a worker in the rest of the time that it asked for. */
export const REST_ARRIVALS = 2;

/** Time for which hostile callers keep their connections, in ms. */
export const MIN_HOSTILE_MS = 200;
export const MAX_HOSTILE_MS = 4_000;

/**
 * Time after callers closed their connections from which their requests must not reach workers, in ms,
 * and the number of requests that may.
 */
export const CLOSE_SLACK_MS = 500;
export const LATE_ARRIVALS = 5;

/** Requests that are sent to each gateway at once after the last fault. */
export const AT_ONCE_COUNT = 12;

/** Memory of the machine of a gateway, in MB, and the interval at which its use is read, in ms. */
export const GATEWAY_MEMORY_MB = 200;
export const MEMORY_POLL_MS = 200;

/** Honest callers that send several requests at once on a connection, and the most that they send. */
export const PIPELINING_CALLER_COUNT = 2;
export const MAX_PIPELINED = 5;

/** Duration of the fault-free phase at the end, in which the system has to recover, in ms. */
export const RECOVERY_MS = 6_000;

/** Time from the start of that phase after which requests have to be served, in ms. */
export const RECOVERY_DEADLINE_MS = 4_500;

/** Smallest share of the requests after that deadline that has to be served. */
export const MIN_SERVED_SHARE = 0.9;

/** Time without a disruption after which time limits apply again, in ms. */
export const SETTLING_MS = 3_000;

/** Time within which the drain of a worker or the revocation of a key takes effect, in ms. */
export const PROPAGATION_MS = 2_000;

/** Time within which the evacuation of a data centre takes effect, in ms. */
export const EVACUATION_MS = 5_000;

/** Grace period: longest time from SIGTERM until the gateway process has exited, in ms. */
export const GRACE_MS = 8_000;

/**
 * Time after the last byte of a request within which a draining gateway may close the connection
 * without having read the request, in ms.
 */
export const UNREAD_CLOSE_MS = 200;

/** Time for which callers wait for the complete answer of a plain call and of a stream, in ms. */
export const CALL_TIMEOUT_MS = 1_000;
export const STREAM_TIMEOUT_MS = 8_000;

/**
 * Deadline of plain calls beside planned work alone, and the shortest timeouts that a configuration
 * sets, in ms. They exceed the longest silence, so that a silent worker can still answer in time.
 */
export const PLANNED_CALL_TIMEOUT_MS = 4_000;
export const MIN_CALL_TIMEOUT_MS = 2_500;
export const MIN_STREAM_TIMEOUT_MS = 6_000;

/** Time after the grace period up to which the end of a process may show at its callers, in ms. */
export const END_SLACK_MS = 1_000;

/**
 * A stream that was sent at most this long after SIGTERM may be interrupted in the last part of the
 * grace period, which begins after this share of it.
 */
export const LATE_STREAM_MS = 3_000;
export const LAST_PART_START = 5 / 6;

/** Largest share of the idle limit for which callers keep an idle connection before they reuse it. */
export const IDLE_SHARE = 0.8;

/** Delay that a slow link adds to each chunk of bytes, in ms. */
export const LINK_DELAY_MS = 150;
