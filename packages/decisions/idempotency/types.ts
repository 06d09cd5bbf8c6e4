import type { Millis } from '../../core/clock.js';
import type { CustomerId, EndpointId, Incarnation, Offset, RequestId } from '../../core/ids.js';
import type { Failure } from '../../core/verdict.js';

/** Identifies one attempt to run a key. It is a UUIDv7, so it contains its time of creation. */
export type Nonce = string;

interface KeyRecordBase {
  readonly format: 1;
  readonly customer: CustomerId;
  readonly key: string;
  /** Time at which the key was issued; null for an untimed key, which never expires. */
  readonly issuedAt: Millis | null;
  /** Time of the append, by the writer's clock. */
  readonly at: Millis;
}

/** Claims the right to run a key with one nonce on one incarnation of an endpoint. */
export interface IntentRecord extends KeyRecordBase {
  readonly kind: 'intent';
  readonly fingerprint: string;
  readonly nonce: Nonce;
  /** Nonce of the active intent that this one replaces; null for an empty chain. */
  readonly previous: Nonce | null;
  readonly endpoint: EndpointId;
  readonly incarnation: Incarnation;
  readonly entry: string;
}

/** Result of a nonce. `may-have-run` closes the key permanently, so that it is never run again. */
export interface Outcome {
  readonly verdict: 'ran' | 'may-have-run';
  readonly status: number | null;
  readonly bodyDigest: string | null;
}

export interface OutcomeRecord extends KeyRecordBase, Outcome {
  readonly kind: 'outcome';
  readonly nonce: Nonce;
}

/** States that the owner of a nonce will never dispatch it. */
export interface AbandonedRecord extends KeyRecordBase {
  readonly kind: 'abandoned';
  readonly nonce: Nonce;
}

/** Snapshot of a chain, appended before retention drops the records that it was built from. */
export interface CarryForwardRecord extends KeyRecordBase {
  readonly kind: 'carry-forward';
  readonly fingerprint: string | null;
  /** The snapshot contains every record below this offset. */
  readonly asOf: Offset;
  readonly link: ChainLink | null;
  readonly abandonedEarly: readonly Nonce[];
}

export type IntentStreamRecord =
  IntentRecord | OutcomeRecord | AbandonedRecord | CarryForwardRecord;

/** Records that the fold rule of `foldChain` applies to. */
export type ChainRecord = IntentRecord | OutcomeRecord | AbandonedRecord;

/** State of the active intent; an outcome closes it. */
export type LinkStanding =
  | { readonly kind: 'open' }
  | { readonly kind: 'abandoned' }
  | ({ readonly kind: 'closed' } & Outcome);

/** Active intent of a chain. */
export interface ChainLink {
  readonly nonce: Nonce;
  readonly previous: Nonce | null;
  readonly endpoint: EndpointId;
  readonly incarnation: Incarnation;
  readonly entry: string;
  readonly at: Millis;
  readonly standing: LinkStanding;
}

/** State of one key after its records were folded in log order. */
export interface ChainState {
  readonly customer: CustomerId;
  readonly key: string;
  readonly issuedAt: Millis | null;
  /** Fingerprint of the content that the key is bound to; null while no intent is active. */
  readonly fingerprint: string | null;
  readonly link: ChainLink | null;
  /** Nonces that were abandoned before their intents appeared in the log, newest last. */
  readonly abandonedEarly: readonly Nonce[];
}

/** Effect of one record on its chain; `carried` is the effect of a carry-forward record. */
export type FoldResult =
  'active' | 'void' | 'closed' | 'abandoned' | 'carried' | 'ignored' | 'expired';

/** `exact` when the table contains every live chain up to its offset. */
export type TableStanding = 'catching-up' | 'exact';

export interface KeySettings {
  /** Time after its issue during which a key is accepted, in milliseconds. */
  readonly keyWindowMs: Millis;
  /** Maximum number of keys without a time of issue. */
  readonly maxUntimedKeys: number;
  /** Maximum number of keys with a time of issue. */
  readonly maxTimedKeys: number;
}

/** Number of keys in a table, by kind. */
export interface KeyCounts {
  /** Keys with a time of issue. */
  readonly timed: number;
  /** Keys without a time of issue, which never expire. */
  readonly untimed: number;
}

/** Request under an idempotency key, as received from the front end. */
export interface KeyedRequest {
  readonly customer: CustomerId;
  readonly key: string;
  readonly fingerprint: string;
  readonly issuedAt: Millis | null;
}

export interface IntentRequest extends KeyedRequest {
  readonly requestId: RequestId;
  readonly entry: string;
  readonly deadlineAt: Millis;
}

export interface EndpointIncarnation {
  readonly endpoint: EndpointId;
  readonly incarnation: Incarnation;
}

/** A nonce together with the only endpoint incarnation that can start it. */
export interface NoncePlacement extends EndpointIncarnation {
  readonly nonce: Nonce;
}

export interface StoredAnswer {
  readonly status: number;
  readonly headers: readonly { readonly name: string; readonly value: string }[];
  readonly body: Uint8Array;
  readonly bodyDigest: string;
}

/** Reply of an endpoint daemon to a fence request, or the fact that none arrived. */
export type FenceResult =
  | { readonly kind: 'fenced' }
  | { readonly kind: 'started' }
  | {
      readonly kind: 'finished';
      /** Null when the endpoint daemon no longer retains the answer. */
      readonly answer: StoredAnswer | null;
      readonly status: number | null;
      readonly bodyDigest: string | null;
    }
  | { readonly kind: 'unknown-incarnation' }
  | { readonly kind: 'unreachable' };

export type AppendResult =
  | { readonly kind: 'appended'; readonly offset: Offset }
  | { readonly kind: 'rejected'; readonly message: string; readonly retryAfterMs?: Millis }
  | { readonly kind: 'unknown'; readonly message: string };

export type DispatchResult =
  | { readonly kind: 'answered'; readonly answer: StoredAnswer }
  /** The endpoint daemon did not start the nonce. */
  | { readonly kind: 'refused'; readonly failure: Failure }
  | { readonly kind: 'unknown'; readonly failure: Failure };

export type IntentTimer = 'settle' | 'wait' | 'poll' | 'record';

export type IntentEvent =
  | { readonly kind: 'start' }
  | {
      readonly kind: 'endpoint-chosen';
      readonly target: EndpointIncarnation;
      readonly nonce: Nonce;
    }
  | { readonly kind: 'endpoint-unavailable'; readonly failure: Failure }
  | {
      readonly kind: 'append-answered';
      /** Kind of the appended record. */
      readonly of: ChainRecord['kind'];
      readonly nonce: Nonce;
      readonly result: AppendResult;
    }
  /** Records were folded into the table, or a read reached the end of the stream. */
  | { readonly kind: 'folded' }
  | { readonly kind: 'timer'; readonly timer: IntentTimer; readonly round: number }
  | { readonly kind: 'dispatch-ended'; readonly nonce: Nonce; readonly result: DispatchResult }
  | { readonly kind: 'fence-answered'; readonly nonce: Nonce; readonly result: FenceResult }
  | { readonly kind: 'caller-disconnected' };

export type IntentEffect =
  | { readonly kind: 'choose-endpoint'; readonly exclude: readonly EndpointId[] }
  | { readonly kind: 'append-records'; readonly records: readonly ChainRecord[] }
  /** Requests a read of the stream up to its end. */
  | { readonly kind: 'read-stream' }
  | ({ readonly kind: 'dispatch' } & NoncePlacement)
  | ({ readonly kind: 'fence' } & NoncePlacement)
  | {
      readonly kind: 'answer';
      readonly answer: StoredAnswer;
      readonly source: 'own' | 'stored';
      /** Placement of the nonce that produced the answer. */
      readonly placement: NoncePlacement;
    }
  /** The key ran, and its answer is no longer available. */
  | {
      readonly kind: 'answer-digest';
      readonly status: number | null;
      readonly bodyDigest: string | null;
    }
  | { readonly kind: 'fail'; readonly failure: Failure }
  | {
      readonly kind: 'schedule';
      readonly timer: IntentTimer;
      readonly round: number;
      readonly delayMs: Millis;
    };

export interface IntentLimits {
  /** Time that the append of an intent may stay unresolved before its request is refused. */
  readonly settleMs: Millis;
  /** Interval between two fence requests for the same nonce. */
  readonly pollMs: Millis;
  /** Maximum number of requests to an endpoint that does not reply, for the answer that it stores. */
  readonly maxReplayTries: number;
  /** Minimum age at which the open intent of another request is fenced and taken over. */
  readonly takeOverAfterMs: Millis;
  /** Maximum number of intents that one request appends. */
  readonly maxIntents: number;
  /** Maximum number of attempts to append one outcome or abandoned record. */
  readonly maxRecordTries: number;
  /** Interval between two of these attempts. */
  readonly recordRetryMs: Millis;
}

/** Read-only view of the daemon's state at the time of an event. */
export interface IntentView {
  readonly now: Millis;
  /** `out` when the last read of the log failed. */
  readonly log: 'up' | 'out';
  readonly standing: TableStanding;
  /** Offset of the first record of the stream that is not folded yet. */
  readonly nextOffset: Offset;
  /** Chain of the key, or undefined when the table has none. */
  readonly chain: ChainState | undefined;
  /** Number of keys in the table, checked against the bounds of `keys`. */
  readonly keyCounts: KeyCounts;
  readonly keys: KeySettings;
  readonly limits: IntentLimits;
}

interface IntentStateBase {
  readonly request: IntentRequest;
  /** Nonces that can never start: fenced ones, and this request's own undispatched ones. */
  readonly unstartable: readonly Nonce[];
  /** Endpoints that refused this request; they are not chosen again. */
  readonly refusedBy: readonly EndpointId[];
  /** Number of intents that this request appended so far. */
  readonly intents: number;
  /** Round of the newest timer; the event of a timer of an earlier round is stale. */
  readonly round: number;
  /** Failure of the last attempt, returned to the caller when no attempt is left. */
  readonly lastFailure: Failure | null;
}

/** Progress of appending this request's intent. */
export type AppendProgress =
  | { readonly kind: 'pending' }
  | { readonly kind: 'appended'; readonly offset: Offset }
  | { readonly kind: 'unknown' };

/** Why a fence request is sent for a nonce. */
export type FencePurpose = 'own-refused' | 'own-unknown' | 'take-over' | 'replay';

export type IntentState = IntentStateBase &
  (
    | { readonly kind: 'checking' }
    /** The intent of another request is active and younger than `takeOverAfterMs`. */
    | { readonly kind: 'waiting'; readonly nonce: Nonce; readonly until: Millis }
    | { readonly kind: 'choosing' }
    | {
        readonly kind: 'settling';
        readonly placement: NoncePlacement;
        readonly previous: Nonce | null;
        readonly append: AppendProgress;
      }
    | { readonly kind: 'dispatched'; readonly placement: NoncePlacement }
    | {
        readonly kind: 'fencing';
        readonly placement: NoncePlacement;
        readonly purpose: FencePurpose;
        /** Number of fence requests sent so far for this purpose. */
        readonly tries: number;
      }
    | {
        readonly kind: 'recording';
        readonly records: readonly [ChainRecord];
        readonly tries: number;
      }
    | { readonly kind: 'finished' }
  );

/** State of a nonce at its endpoint daemon. */
export type NonceEntry =
  | { readonly kind: 'fenced'; readonly createdAt: Millis }
  | { readonly kind: 'started'; readonly createdAt: Millis }
  | {
      readonly kind: 'finished';
      readonly createdAt: Millis;
      readonly status: number;
      readonly bodyDigest: string;
    };

export interface NonceSettings {
  /** Age from which a nonce is never started. Its entry is dropped no earlier than at this age. */
  readonly windowMs: Millis;
  /** Time for which the answer of a finished nonce is retained. */
  readonly answerRetentionMs: Millis;
  /** Maximum total size of the retained answers in bytes; the oldest are evicted first. */
  readonly maxAnswerBytes: number;
  /** Number of entries from which no further nonce is started. */
  readonly maxEntries: number;
}

export type NonceEvent =
  | {
      readonly kind: 'start';
      readonly nonce: Nonce;
      readonly incarnation: Incarnation;
      readonly now: Millis;
    }
  | {
      readonly kind: 'fence';
      readonly nonce: Nonce;
      readonly incarnation: Incarnation;
      readonly now: Millis;
    }
  | {
      readonly kind: 'finish';
      readonly nonce: Nonce;
      readonly answer: StoredAnswer;
      readonly now: Millis;
    }
  /** The answer of a started nonce is too large to be retained. */
  | {
      readonly kind: 'finish-without-answer';
      readonly nonce: Nonce;
      readonly status: number;
      readonly bodyDigest: string;
    }
  /** The call of a started nonce is known not to have reached the service. */
  | { readonly kind: 'release'; readonly nonce: Nonce }
  | { readonly kind: 'expire'; readonly now: Millis };

export type NonceDecision =
  | { readonly kind: 'run' }
  | { readonly kind: 'refuse'; readonly failure: Failure }
  | { readonly kind: 'fence'; readonly result: FenceResult }
  | { readonly kind: 'no-reply' };
