import type { Millis } from '../core/clock.js';
import type { CustomerId, DataCentreId } from '../core/ids.js';

/** How a proxy treats its connections and their bytes. */
export type LinkMode =
  /** Bytes pass unchanged. */
  | 'pass'
  /** Bytes of both directions are delayed. */
  | 'delay'
  /** Open and new connections are reset. */
  | 'reset'
  /** Bytes of both directions are dropped; connections stay open. */
  | 'silence'
  /** Requests pass, and answers are dropped. */
  | 'one-way';

/**
 * What a soak injects. `faults`: disruptions and planned work. `planned`: planned work and silences of
 * sound workers alone, so that nothing excuses a lost request.
 */
export type SoakProfile = 'faults' | 'planned';

/** Limits and timeouts that a version of the configuration sets. */
export interface OperatorLimits {
  readonly idleTimeoutMs: Millis;
  readonly headerTimeoutMs: Millis;
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly callTimeoutMs: Millis;
  readonly streamTimeoutMs: Millis;
}

/** How a failing store treats requests: it refuses them, never answers or resets connections. */
export type StoreFaultMode = 'busy' | 'silent' | 'reset';

/**
 * `told`: the registration of a leaving worker shows that it drains. `untold`: the registration is
 * removed.
 */
export type LeaveNotice = 'told' | 'untold';

/** Identifies the link of one gateway to the store, or of all gateways to one worker slot. */
export type LinkId =
  | { readonly kind: 'store'; readonly gateway: number }
  | { readonly kind: 'worker'; readonly slot: number };

/**
 * A fault of the system or a planned change, injected from outside the gateways. Slots, gateways and
 * data centres are numbered from 0. With a `durationMs` it is undone after that time.
 */
export type SystemFault =
  /** SIGKILL; the gateway is started again after the duration. */
  | { readonly kind: 'kill'; readonly gateway: number; readonly durationMs: Millis }
  /** SIGSTOP, and SIGCONT after the duration. */
  | { readonly kind: 'pause'; readonly gateway: number; readonly durationMs: Millis }
  /** SIGTERM; the gateway drains, exits and is started again. */
  | { readonly kind: 'terminate'; readonly gateway: number }
  /** Settings file rewritten with equivalent content, and SIGHUP. */
  | { readonly kind: 'reload'; readonly gateway: number }
  | {
      readonly kind: 'link';
      readonly link: LinkId;
      readonly mode: Exclude<LinkMode, 'pass'>;
      readonly durationMs: Millis;
    }
  | { readonly kind: 'store'; readonly mode: StoreFaultMode; readonly durationMs: Millis }
  /** The store compacts its topics, so that reads of old offsets fail. */
  | { readonly kind: 'compact-store' }
  | { readonly kind: 'worker-crash'; readonly slot: number; readonly durationMs: Millis }
  | {
      readonly kind: 'worker-leave';
      readonly slot: number;
      readonly notice: LeaveNotice;
      readonly durationMs: Millis;
    }
  /**
   * A sound worker sends nothing for the duration, and then everything that it held back. It reads
   * and works all the while.
   */
  | { readonly kind: 'worker-silence'; readonly slot: number; readonly durationMs: Millis }
  /** A new version of the configuration is published. */
  | { readonly kind: 'configure' }
  /** Versions with other limits are published one after the other. */
  | {
      readonly kind: 'configure-series';
      readonly versions: readonly OperatorLimits[];
      readonly gapMs: Millis;
    }
  /** SIGTERM to one gateway after the other, of which at least one keeps serving. */
  | {
      readonly kind: 'restart-gateways';
      readonly gateways: readonly number[];
      readonly gapMs: Millis;
    }
  | { readonly kind: 'revoke-key' }
  /** The data centre is evacuated. */
  | { readonly kind: 'data-centre-out'; readonly dataCentre: number; readonly durationMs: Millis };

/** What follows when a worker has stated in its answers for a while that it leaves. */
export type StatementEnd =
  /** The worker leaves as its notice says. */
  | LeaveNotice
  /** The worker stops without a notice. */
  | 'stopped'
  /** The worker stays, and states it for good. */
  | 'stays';

/** What a worker states in its answers, while its registration stays as it was. */
export type WorkerStatement =
  /** Each answer states that the worker leaves. */
  | {
      readonly kind: 'worker-says-leaving';
      readonly slot: number;
      readonly durationMs: Millis;
      readonly end: StatementEnd;
    }
  /** Each request is refused as not run, with the time for which the worker wants none. */
  | {
      readonly kind: 'worker-rests';
      readonly slot: number;
      /** Value of the header, which may be no number. */
      readonly retryAfter: string;
      readonly durationMs: Millis;
    };

/** What callers do that care for nobody else on their gateway. */
export type HostileBehaviour =
  /** Many requests at once on each connection, whose answers are read. */
  | 'pipeline-read'
  /** The same, and no answer is read. */
  | 'pipeline-unread'
  /** A head that never ends. */
  | 'partial-head'
  /** One request, whose answer is read a few bytes at a time. */
  | 'slow-reader';

/** Callers that open connections to one gateway and close all of them after the duration. */
export interface HostileCalls {
  readonly kind: 'hostile-callers';
  readonly gateway: number;
  readonly behaviour: HostileBehaviour;
  readonly credential: 'keyed' | 'keyless';
  readonly connections: number;
  readonly requestsEach: number;
  readonly durationMs: Millis;
}

/** Anything that a soak injects. */
export type SoakFault = SystemFault | WorkerStatement | HostileCalls;

/** A fault and when it begins. */
export interface TimedFault {
  /** Time from the start of the traffic. */
  readonly at: Millis;
  readonly fault: SoakFault;
}

/**
 * Kinds of requests that callers send. `once` and `idempotent` are plain calls, of which only the
 * latter may run more than once. `generation`, `unframed` and `resumable` are streams, of which only
 * the last may be resumed after its last event. The answer to an `unframed` one has neither a length
 * nor chunks and ends with its connection.
 */
export type CallKind = 'once' | 'idempotent' | 'generation' | 'unframed' | 'resumable';

/** How long the stream of a request takes: `slow` ones outlast the drain of a worker. */
export type CallPace = 'quick' | 'slow';

/** How a request ended for its caller. */
export type CallOutcome =
  /** The answer was complete. */
  | {
      readonly kind: 'answered';
      readonly status: number;
      /** Signature of the worker on its answer; null for an answer of the gateway itself. */
      readonly signature: string | null;
      readonly body: string;
      /** Ids of the received events of a stream. */
      readonly eventIds: readonly number[];
    }
  /** The connection ended before the answer was complete. */
  | { readonly kind: 'cut'; readonly eventIds: readonly number[] }
  /** No connection was established. */
  | { readonly kind: 'not-sent' }
  /** The caller's timeout expired. */
  | { readonly kind: 'timed-out' };

/** Head of an answer as it reached the caller. */
export interface AnswerHead {
  readonly at: Millis;
  readonly status: number;
  /** Signature of the worker; null for an answer of the gateway itself. */
  readonly signature: string | null;
}

/** A request as recorded by its caller; instants are those of the soak's monotonic clock. */
export interface CallRecord {
  readonly id: string;
  readonly kind: CallKind;
  readonly gateway: number;
  /** Number of the gateway's process since the start of the soak, from 1. */
  readonly incarnation: number;
  readonly key: string;
  readonly customer: CustomerId;
  readonly body: string;
  readonly sentAt: Millis;
  readonly endedAt: Millis;
  /** The caller's deadline or the shortest timeout of the route, whichever is shorter. */
  readonly timeLimitMs: Millis;
  /** Null when no head of an answer arrived. */
  readonly head: AnswerHead | null;
  readonly outcome: CallOutcome;
}

/** Callers of one hostile fault; the ids of their requests begin with the prefix and a hyphen. */
export interface HostileGroup {
  readonly idPrefix: string;
  readonly gateway: number;
  readonly incarnation: number;
  readonly sentAt: Millis;
  /** When all connections were closed; Infinity before. */
  closedAt: Millis;
}

/** An execution of a request, as recorded by the worker. */
export interface RunRecord {
  readonly requestId: string;
  readonly workerId: string;
  readonly dataCentre: DataCentreId;
  readonly at: Millis;
  /** Customer that the gateway named to the worker; null when it named none. */
  readonly customer: string | null;
  /** Whether the caller's API key was withheld from the worker or reached it. */
  readonly credential: 'kept-back' | 'leaked';
  /**
   * `begun`: executed from the beginning. `continued`: resumed from a copy of the same generation
   * or after an event id. `foreign-copy`: resumed from a copy of another generation.
   */
  readonly start: 'begun' | 'continued' | 'foreign-copy';
}

/** What a worker stated in an answer of its own. */
export interface AnswerStatement {
  readonly at: Millis;
  readonly leaving: 'said' | 'unsaid';
  /** Time for which the worker wants no request; null when it stated none that is valid. */
  readonly restMs: Millis | null;
}

/** Arrival of a request at a worker, whether it was run or refused; none with status 421. */
export interface ArrivalRecord {
  readonly requestId: string;
  readonly workerId: string;
  readonly slot: number;
  readonly at: Millis;
  /** Null until the worker has answered. */
  readonly answer: AnswerStatement | null;
}

/** A run that its worker broke off, by a crash or at the end of its drain. */
export interface BrokenRun {
  readonly requestId: string;
  readonly workerId: string;
}

/** Interval in which a fault affected a gateway or something that the gateways depend on. */
export interface Disruption {
  readonly cause: 'unplanned' | 'planned';
  readonly from: Millis;
  readonly until: Millis;
}

/** Interval in which a gateway did not run, or in which bytes to or from a worker slot were held up. */
export interface Hindrance {
  readonly subject:
    | { readonly kind: 'gateway'; readonly gateway: number }
    | { readonly kind: 'slot'; readonly slot: number };
  readonly from: Millis;
  readonly until: Millis;
}

/** An observed violation of a promise that the gateways make. */
export interface Finding {
  readonly promise:
    /** A request that must not run twice is started at most once. */
    | 'at-most-once'
    /** A request that was refused as not run did not run. */
    | 'true-refusal'
    /** Every answer belongs to the request of its caller. */
    | 'own-answer'
    /** Stream events arrive in order and without gaps; a stream that ends normally is complete. */
    | 'events-in-order'
    /** A request runs for the customer of its key, and the key is withheld from the worker. */
    | 'own-customer'
    /** Workers run only requests that a caller sent. */
    | 'unasked-run'
    /** No request starts at a draining worker. */
    | 'no-new-work-for-leaving'
    /** No request starts in an evacuated data centre. */
    | 'no-new-work-in-data-centre-out'
    /** No request with a revoked key runs. */
    | 'revoked-key'
    /** A draining gateway completes the requests that it has read. */
    | 'drain-loses-nothing'
    /**
     * A request that a gateway has read ends with a complete answer or a refusal, planned work and
     * silent workers notwithstanding.
     */
    | 'answered'
    /** A gateway sends nothing more to a worker whose answer that it leaves it has passed on. */
    | 'stated-leaving'
    /** A gateway leaves a worker alone for the time that the worker asked for. */
    | 'stated-rest'
    /** Requests whose callers have closed their connections do not reach workers later. */
    | 'no-work-after-close'
    /** Requests are served again after the last fault. */
    | 'recovery'
    /** After the last fault, each gateway serves several requests at once. */
    | 'serves-at-once'
    /** The memory of a gateway process stays below that of its machine. */
    | 'memory'
    /** A gateway process exits only when the soak terminates or kills it. */
    | 'process-stays'
    /** A gateway process exits within the grace period after SIGTERM. */
    | 'process-ends';
  readonly detail: string;
}

/** A change that has to take effect within a time limit. */
export type PublishedChange =
  | { readonly kind: 'worker-leaving'; readonly workerId: string; readonly at: Millis }
  | { readonly kind: 'key-revoked'; readonly key: string; readonly at: Millis }
  | {
      readonly kind: 'data-centre-out';
      readonly dataCentre: DataCentreId;
      readonly at: Millis;
      readonly until: Millis;
    };

/** A SIGTERM that was sent to a gateway process. */
export interface Termination {
  readonly gateway: number;
  readonly incarnation: number;
  readonly at: Millis;
}

/** Everything that callers, workers and the soak itself recorded. */
export interface Observations {
  readonly calls: readonly CallRecord[];
  readonly runs: readonly RunRecord[];
  readonly brokenRuns: readonly BrokenRun[];
  readonly changes: readonly PublishedChange[];
  readonly terminations: readonly Termination[];
  readonly disruptions: readonly Disruption[];
  readonly arrivals: readonly ArrivalRecord[];
  readonly hostileGroups: readonly HostileGroup[];
  readonly hindrances: readonly Hindrance[];
}
