import type { Millis } from '../../core/clock.js';
import type { CustomerId, EndpointId, Incarnation, Offset, RequestId } from '../../core/ids.js';
import type { Failure } from '../../core/verdict.js';

/** Identifier of one attempt to run a key: a UUIDv7, so that it carries its time of creation. */
export type Nonce = string;

interface KeyRecordBase {
  readonly format: 1;
  readonly customer: CustomerId;
  readonly key: string;
  /** Time of issue of the key; null for a key without one, which never expires. */
  readonly issuedAt: Millis | null;
  /** Time of the append by the writer's clock. */
  readonly at: Millis;
}

/** Asks for the right to run a key with one nonce at one incarnation of an endpoint. */
export interface IntentRecord extends KeyRecordBase {
  readonly kind: 'intent';
  readonly fingerprint: string;
  readonly nonce: Nonce;
  /** Nonce of the chain's active intent that this one replaces; null for an empty chain. */
  readonly previous: Nonce | null;
  readonly endpoint: EndpointId;
  readonly incarnation: Incarnation;
  readonly entry: string;
}

/** Result of a nonce. `may-have-run` closes the key for good. */
export interface Outcome {
  readonly verdict: 'ran' | 'may-have-run';
  readonly status: number | null;
  readonly bodyDigest: string | null;
}

export interface OutcomeRecord extends KeyRecordBase, Outcome {
  readonly kind: 'outcome';
  readonly nonce: Nonce;
}

/** The owner's promise never to dispatch a nonce. */
export interface AbandonedRecord extends KeyRecordBase {
  readonly kind: 'abandoned';
  readonly nonce: Nonce;
}

/** State of a chain as of an offset, appended before retention drops the records behind it. */
export interface CarryForwardRecord extends KeyRecordBase {
  readonly kind: 'carry-forward';
  readonly fingerprint: string | null;
  /** The state contains every record below this offset. */
  readonly asOf: Offset;
  readonly link: ChainLink | null;
  readonly abandonedEarly: readonly Nonce[];
}

export type IntentStreamRecord =
  IntentRecord | OutcomeRecord | AbandonedRecord | CarryForwardRecord;

/** Records that change a chain by the fold rule. */
export type ChainRecord = IntentRecord | OutcomeRecord | AbandonedRecord;

export type LinkStanding =
  | { readonly kind: 'open' }
  | { readonly kind: 'abandoned' }
  | ({ readonly kind: 'closed' } & Outcome);

/** The active intent of a chain. */
export interface ChainLink {
  readonly nonce: Nonce;
  readonly previous: Nonce | null;
  readonly endpoint: EndpointId;
  readonly incarnation: Incarnation;
  readonly entry: string;
  readonly at: Millis;
  readonly standing: LinkStanding;
}

export interface ChainState {
  readonly customer: CustomerId;
  readonly key: string;
  readonly issuedAt: Millis | null;
  /** Fingerprint that the key is bound to; null while no intent is active. */
  readonly fingerprint: string | null;
  readonly link: ChainLink | null;
  /** Abandoned nonces whose intents have not landed, newest last. */
  readonly abandonedEarly: readonly Nonce[];
}

/** Effect of one record on its chain. */
export type FoldResult =
  'active' | 'void' | 'closed' | 'abandoned' | 'carried' | 'ignored' | 'expired';

/** Whether the table contains every live chain up to its offset. */
export type TableStanding = 'catching-up' | 'exact';

export interface KeySettings {
  /** How long after its issue a key is accepted. */
  readonly keyWindowMs: Millis;
  /** Largest number of keys without a time of issue. */
  readonly maxUntimedKeys: number;
  /** Largest number of keys with a time of issue. */
  readonly maxTimedKeys: number;
}

/** Numbers of keys in a table. */
export interface KeptKeys {
  /** Keys with a time of issue. */
  readonly timed: number;
  /** Keys without one, which never expire. */
  readonly untimed: number;
}

/** A request under a key, as the front end hands it over. */
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

export interface Target {
  readonly endpoint: EndpointId;
  readonly incarnation: Incarnation;
}

/** A nonce together with the only place that can start it. */
export interface NoncePlace extends Target {
  readonly nonce: Nonce;
}

export interface StoredAnswer {
  readonly status: number;
  readonly headers: readonly { readonly name: string; readonly value: string }[];
  readonly body: Uint8Array;
  readonly bodyDigest: string;
}

/** Reply of an endpoint daemon to a fence, or the absence of one. */
export type FenceResult =
  | { readonly kind: 'fenced' }
  | { readonly kind: 'started' }
  | {
      readonly kind: 'finished';
      /** Null when the endpoint daemon no longer holds the answer. */
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
  | { readonly kind: 'endpoint-chosen'; readonly target: Target; readonly nonce: Nonce }
  | { readonly kind: 'endpoint-unavailable'; readonly failure: Failure }
  | {
      readonly kind: 'append-answered';
      /** Kind of the records that were appended. */
      readonly of: ChainRecord['kind'];
      readonly nonce: Nonce;
      readonly result: AppendResult;
    }
  /** Records were folded into the table, or a read reached the end of the stream. */
  | { readonly kind: 'folded' }
  | { readonly kind: 'timer'; readonly timer: IntentTimer; readonly round: number }
  | { readonly kind: 'dispatch-ended'; readonly nonce: Nonce; readonly result: DispatchResult }
  | { readonly kind: 'fence-answered'; readonly nonce: Nonce; readonly result: FenceResult }
  | { readonly kind: 'caller-gone' };

export type IntentEffect =
  | { readonly kind: 'choose-endpoint'; readonly exclude: readonly EndpointId[] }
  | { readonly kind: 'append-records'; readonly records: readonly ChainRecord[] }
  /** Asks for a read of the stream up to its end. */
  | { readonly kind: 'read-stream' }
  | ({ readonly kind: 'dispatch' } & NoncePlace)
  | ({ readonly kind: 'fence' } & NoncePlace)
  | {
      readonly kind: 'answer';
      readonly answer: StoredAnswer;
      readonly source: 'own' | 'stored';
      /** The nonce that the answer belongs to. */
      readonly place: NoncePlace;
    }
  /** The key ran and its answer is no longer held. */
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
  /** How long an append may stay unresolved before its request is refused. */
  readonly settleMs: Millis;
  /** Pause between two questions to an endpoint daemon about the same nonce. */
  readonly pollMs: Millis;
  /** Age of another's open intent below which it is left alone. */
  readonly takeOverAfterMs: Millis;
  /** Largest number of intents that one request appends. */
  readonly maxIntents: number;
  /** Largest number of appends of one outcome or abandoned record. */
  readonly maxRecordTries: number;
  readonly recordRetryMs: Millis;
}

/** Read-only view of the daemon's state at the time of an event. */
export interface IntentView {
  readonly now: Millis;
  /** Whether the log answered its last read. */
  readonly log: 'up' | 'out';
  readonly standing: TableStanding;
  /** First offset of the stream that is not folded. */
  readonly nextOffset: Offset;
  /** The key's chain, or undefined when the table has none. */
  readonly chain: ChainState | undefined;
  /** Keys in the table. */
  readonly kept: KeptKeys;
  readonly keys: KeySettings;
  readonly limits: IntentLimits;
}

interface IntentStateBase {
  readonly request: IntentRequest;
  /** Nonces that can never start: fenced ones, and own ones that will not be dispatched. */
  readonly unstartable: readonly Nonce[];
  /** Endpoints that refused this request. */
  readonly refusedBy: readonly EndpointId[];
  /** Number of intents appended so far. */
  readonly intents: number;
  /** Counts scheduled timers, so that a stale one is recognised. */
  readonly round: number;
  /** Last failure that a caller would be told when no attempt is left. */
  readonly lastFailure: Failure | null;
}

/** Progress of the append of an own intent. */
export type AppendProgress =
  | { readonly kind: 'pending' }
  | { readonly kind: 'appended'; readonly offset: Offset }
  | { readonly kind: 'unknown' };

/** Why an endpoint daemon is asked about a nonce. */
export type FencePurpose = 'own-refused' | 'own-unknown' | 'take-over' | 'replay';

export type IntentState = IntentStateBase &
  (
    | { readonly kind: 'checking' }
    /** Another daemon's intent is active and still young. */
    | { readonly kind: 'waiting'; readonly nonce: Nonce; readonly until: Millis }
    | { readonly kind: 'choosing' }
    | {
        readonly kind: 'settling';
        readonly place: NoncePlace;
        readonly previous: Nonce | null;
        readonly append: AppendProgress;
      }
    | { readonly kind: 'dispatched'; readonly place: NoncePlace }
    | { readonly kind: 'fencing'; readonly place: NoncePlace; readonly purpose: FencePurpose }
    | {
        readonly kind: 'recording';
        readonly records: readonly [ChainRecord];
        readonly tries: number;
      }
    | { readonly kind: 'finished' }
  );

/** State of one nonce at its endpoint daemon. */
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
  /** Age above which a nonce is never started; its entry is dropped only after this age. */
  readonly windowMs: Millis;
  /** How long the answer of a finished nonce is held. */
  readonly answerKeepMs: Millis;
  /** Bound on the bytes of all held answers; the oldest go first. */
  readonly maxAnswerBytes: number;
  /** Number of entries above which no nonce is started. */
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
  /** The answer of a started nonce is too large to be held. */
  | {
      readonly kind: 'finish-without-answer';
      readonly nonce: Nonce;
      readonly status: number;
      readonly bodyDigest: string;
    }
  /** The call of a started nonce certainly did not reach the service. */
  | { readonly kind: 'release'; readonly nonce: Nonce }
  | { readonly kind: 'expire'; readonly now: Millis };

export type NonceDecision =
  | { readonly kind: 'run' }
  | { readonly kind: 'refuse'; readonly failure: Failure }
  | { readonly kind: 'fence'; readonly result: FenceResult }
  | { readonly kind: 'kept' };
