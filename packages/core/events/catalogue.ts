import { GATEWAY_EVENTS } from './gatewayCatalogue.js';
import type { CatalogueEntry } from './types.js';

/** All events that a daemon can log. Numbers are never reused. */
export const EVENT_CATALOGUE = {
  ...GATEWAY_EVENTS,
  'daemon-started': {
    number: 1001,
    level: 'info',
    text: 'A daemon started listening on its addresses.',
  },
  'daemon-stopping': { number: 1002, level: 'info', text: 'A daemon began its graceful shutdown.' },
  'daemon-stopped': {
    number: 1003,
    level: 'info',
    text: 'A daemon stopped; the data reports how much work was unfinished.',
  },
  'child-failed': {
    number: 1004,
    level: 'error',
    text: 'A child of a supervisor failed and is handled according to its restart rule.',
  },
  'daemon-fault': {
    number: 1005,
    level: 'error',
    text: 'An error escaped the supervisor tree; the process exits with code 70.',
  },
  'error-uncaught': {
    number: 1010,
    level: 'error',
    text: 'An error was thrown or rejected where nothing catches it; the daemon goes on, and drains after more than 10 in a minute.',
  },
  'pause-detected': {
    number: 1006,
    level: 'warn',
    text: 'The process was paused for longer than a lease.',
  },
  'loop-late': {
    number: 1012,
    level: 'warn',
    text: 'A timer came late; the data tells how much processor time the process used meanwhile: little, if it was paused or waited for a processor.',
  },
  'request-received': {
    number: 2001,
    level: 'info',
    text: 'A request was accepted for placement.',
  },
  'request-queued': {
    number: 2002,
    level: 'info',
    text: 'No endpoint can accept the request now, so it is queued.',
  },
  'request-placed': {
    number: 2003,
    level: 'info',
    text: 'An endpoint was chosen; the data lists the candidates.',
  },
  'attempt-started': {
    number: 2004,
    level: 'info',
    text: 'The request was sent to an endpoint daemon.',
  },
  'attempt-ended': { number: 2005, level: 'info', text: 'An attempt ended with a verdict.' },
  'request-finished': { number: 2006, level: 'info', text: 'The complete answer was delivered.' },
  'request-failed': {
    number: 2007,
    level: 'warn',
    text: 'The caller received a failure with a verdict.',
  },
  'request-cancelled': {
    number: 2008,
    level: 'info',
    text: 'The caller disconnected before the answer was complete.',
  },
  'request-retried': {
    number: 2009,
    level: 'info',
    text: 'Another attempt follows within the retry budget.',
  },
  'request-shed': {
    number: 2010,
    level: 'warn',
    text: 'The request was refused before dispatch because of overload.',
  },
  'configuration-applied': {
    number: 3001,
    level: 'info',
    text: 'A record of the control stream took effect.',
  },
  'configuration-void': {
    number: 3002,
    level: 'warn',
    text: 'A record of the control stream lost a race and has no effect.',
  },
  'log-unavailable': { number: 3003, level: 'warn', text: 'The log does not respond.' },
  'log-available': { number: 3004, level: 'info', text: 'The log responds again.' },
  'record-rejected': {
    number: 3005,
    level: 'error',
    text: 'A log record has an unknown format and was skipped.',
  },
  'configuration-from-peer': {
    number: 3006,
    level: 'info',
    text: 'The configuration was fetched from a peer during a log outage.',
  },
  'snapshot-appended': {
    number: 3007,
    level: 'info',
    text: 'A snapshot of the configuration was appended to the log.',
  },
  'list-unavailable': {
    number: 3008,
    level: 'warn',
    text: 'The instance list does not respond; liveness depends on heartbeats alone.',
  },
  'endpoint-joined': {
    number: 4001,
    level: 'info',
    text: 'A new incarnation of an endpoint sent its first heartbeat.',
  },
  'endpoint-phase-changed': {
    number: 4002,
    level: 'info',
    text: 'The phase of an endpoint changed.',
  },
  'heartbeat-ignored': {
    number: 4003,
    level: 'debug',
    text: 'A heartbeat of an older incarnation or sequence was ignored.',
  },
  'lease-lapsed': {
    number: 4004,
    level: 'warn',
    text: 'No heartbeat was acknowledged within the lease; new work is refused.',
  },
  'lease-settling': {
    number: 4009,
    level: 'info',
    text: 'Heartbeats are acknowledged again; the lease waits for more entry daemons.',
  },
  'lease-renewed': {
    number: 4005,
    level: 'info',
    text: 'A heartbeat was acknowledged after the lease had lapsed.',
  },
  'limit-changed': {
    number: 4006,
    level: 'info',
    text: 'The admission limit of the endpoint changed.',
  },
  'engine-restarted': {
    number: 4007,
    level: 'warn',
    text: 'The engine reports a new start identity; its admission limit is reset.',
  },
  'engine-unreachable': {
    number: 4008,
    level: 'warn',
    text: 'The engine does not respond on its health page.',
  },
  'generation-started': {
    number: 5001,
    level: 'info',
    text: 'A generation was started at the engine.',
  },
  'generation-finished': { number: 5002, level: 'info', text: 'The engine finished a generation.' },
  'generation-failed': {
    number: 5003,
    level: 'warn',
    text: 'A generation ended before it was complete.',
  },
  'generation-cancelled': {
    number: 5004,
    level: 'info',
    text: 'A generation was cancelled at the engine.',
  },
  'stream-resumed': {
    number: 5005,
    level: 'info',
    text: 'A stream resumed at the first undelivered chunk.',
  },
  'stream-stalled': {
    number: 5006,
    level: 'warn',
    text: 'No chunk arrived within the stall threshold of the class.',
  },
  'work-refused': {
    number: 5007,
    level: 'info',
    text: 'The endpoint daemon refused new work as not-run.',
  },
  'intent-appended': {
    number: 6001,
    level: 'info',
    text: 'An intent of a non-repeatable call was appended.',
  },
  'intent-active': {
    number: 6002,
    level: 'info',
    text: 'An intent was read back and is the active intent of its key.',
  },
  'intent-void': { number: 6003, level: 'info', text: 'Another intent holds the key.' },
  'append-unresolved': {
    number: 6004,
    level: 'warn',
    text: 'The response to an append was lost; the stream is searched for its nonce.',
  },
  'nonce-fenced': {
    number: 6005,
    level: 'info',
    text: 'The endpoint daemon fenced a nonce and will never start it.',
  },
  'outcome-appended': {
    number: 6006,
    level: 'info',
    text: 'The outcome of a non-repeatable call was appended.',
  },
  'key-replayed': {
    number: 6007,
    level: 'info',
    text: 'A request with a repeated key received the stored answer.',
  },
  'fence-unanswered': {
    number: 6008,
    level: 'warn',
    text: 'No reply to a fence request arrived; the data gives the reason.',
  },
  'move-started': { number: 7001, level: 'info', text: 'A version move took effect.' },
  'move-share-changed': {
    number: 7002,
    level: 'info',
    text: 'The share of the new version changed.',
  },
  'move-stopped-locally': {
    number: 7003,
    level: 'warn',
    text: 'This process stopped the new version because of evidence of faults.',
  },
  'move-done': { number: 7004, level: 'info', text: 'A version move is complete.' },
  'move-taken-back': { number: 7005, level: 'warn', text: 'A version move was rolled back.' },
  'move-needs-operator': {
    number: 7006,
    level: 'warn',
    text: 'A move has too little evidence near its deadline.',
  },
  'operator-record-accepted': {
    number: 8001,
    level: 'info',
    text: 'An operator published a record.',
  },
  'operator-record-refused': {
    number: 8002,
    level: 'warn',
    text: 'A record of an operator was refused or lost a race.',
  },
  'notification-sent': { number: 8003, level: 'info', text: 'Operators were notified.' },
  'notification-failed': { number: 8004, level: 'warn', text: 'Operators could not be notified.' },
  'request-suspected': {
    number: 9001,
    level: 'warn',
    text: 'The request was in flight when its endpoint crashed.',
  },
  'request-quarantined': {
    number: 9002,
    level: 'warn',
    text: 'Endpoints crashed on a fingerprint, whose requests are refused until it expires.',
  },
  'peer-found': {
    number: 4010,
    level: 'info',
    text: 'The first message of another gateway daemon arrived.',
  },
  'peer-unreachable': {
    number: 4011,
    level: 'info',
    text: 'A datagram to another daemon could not be sent.',
  },
  'endpoint-changed': {
    number: 4012,
    level: 'info',
    text: 'A registration of an endpoint was added, changed its phase or was removed.',
  },
  'endpoint-avoided': {
    number: 4013,
    level: 'info',
    text: 'An endpoint is excluded from placement for a while because of failures.',
  },
  'endpoint-limited': {
    number: 4015,
    level: 'info',
    text: 'The request limit that an endpoint states changed.',
  },
  'endpoint-stated': {
    number: 4016,
    level: 'info',
    text: 'An endpoint said in an answer that it leaves or wants no requests for a time, or said it illegibly.',
  },
  'data-centre-changed': {
    number: 4014,
    level: 'info',
    text: 'Operators took a data centre out of service or returned it.',
  },
  'record-unreadable': {
    number: 3009,
    level: 'warn',
    text: 'A record of the platform could not be read and was skipped.',
  },
  'quarantines-rewritten': {
    number: 3024,
    level: 'info',
    text: 'The daemon repeats its writes of quarantines and their ends to a restored store.',
  },
  'store-restored': {
    number: 3020,
    level: 'warn',
    text: 'The store answers from another copy of its records, which may lack the latest ones.',
  },
  'connection-replaced': {
    number: 3025,
    level: 'info',
    text: 'The store answered a read on a new connection, since the first one failed or was silent.',
  },
  'transfer-step': {
    number: 5008,
    level: 'info',
    text: 'The transfer of a running generation to another endpoint reached a new state.',
  },
  'run-checked': {
    number: 5009,
    level: 'info',
    text: 'The engine of a silent stream answered on a new connection whether it runs the request.',
  },
  'settings-reloaded': {
    number: 1007,
    level: 'info',
    text: 'A daemon applied changed settings.',
  },
  'address-unavailable': {
    number: 1008,
    level: 'warn',
    text: 'An address of the daemon is in use or not set up yet; the daemon tries to open it again.',
  },
  'memory-full': {
    number: 1009,
    level: 'info',
    text: 'A part of the daemon could not reserve memory, and refuses or ends a request or a call.',
  },
  'memory-left': {
    number: 1011,
    level: 'warn',
    text: 'Memory is reserved for callers although there are none; the daemon may refuse requests for want of it.',
  },
  'effect-failed': {
    number: 4030,
    level: 'error',
    text: 'An adapter failed unexpectedly; the request or the read ends, and the daemon goes on.',
  },
  'caller-unreadable': {
    number: 2011,
    level: 'info',
    text: 'The bytes received from a caller are not a valid request.',
  },
  'request-abandoned': {
    number: 2030,
    level: 'info',
    text: 'The caller closed its connection before its request was answered completely.',
  },
  'request-cut': {
    number: 2031,
    level: 'info',
    text: 'This daemon closed the connection of a request that was not answered completely.',
  },
  'requests-left': {
    number: 2032,
    level: 'info',
    text: 'The requests that the end of the process left without a complete answer.',
  },
  'retry-decided': {
    number: 2033,
    level: 'info',
    text: 'The retry budget permitted a further attempt or did not; the data lists what decided it.',
  },
} as const satisfies Readonly<Record<string, CatalogueEntry>>;

export type EventName = keyof typeof EVENT_CATALOGUE;
