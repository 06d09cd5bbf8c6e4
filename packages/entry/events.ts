import type {
  FenceCommand,
  EndpointCompletion,
  OpenCall,
  OpenGeneration,
} from './requests/endpointMessages.js';
import type {
  CallerRequest,
  HeartbeatReply,
  ListedInstance,
  ReceivedHeartbeat,
  ServiceAnswer,
} from './types.js';
import type { Millis } from '../core/clock.js';
import type { EventName } from '../core/events/catalogue.js';
import type { EndpointId, GenerationId, Incarnation, Offset, RequestId } from '../core/ids.js';
import type { LoopEffect } from '../core/loop/effects.js';
import type { Failure } from '../core/verdict.js';
import type { ProposedChange } from '../decisions/configuration/proposals.js';
import type { FoldResult, Winner } from '../decisions/configuration/types.js';
import type { ChainRecord, IntentTimer, AppendResult } from '../decisions/idempotency/types.js';
import type { GenerationSource } from '../decisions/streams/types.js';

/** Streams of the platform's log that entry daemons read and append to. */
export type LogStream = 'control' | 'intents';

/** Result of one read of a stream. */
export interface LogBatch {
  /** Oldest offset that the log retains. */
  readonly firstOffset: Offset;
  /** Offset at which the next read starts. */
  readonly nextOffset: Offset;
  readonly records: readonly {
    readonly offset: Offset;
    readonly at: Millis;
    readonly body: unknown;
  }[];
}

/** Receiver of the result of an append. */
export type AppendOwner =
  | {
      readonly kind: 'intent';
      readonly requestId: RequestId;
      readonly recordKind: ChainRecord['kind'];
      readonly nonce: string;
    }
  | { readonly kind: 'operator'; readonly operationId: string }
  | { readonly kind: 'own-record' };

export type ListEvent =
  | { readonly to: 'list'; readonly kind: 'poll' }
  | {
      readonly to: 'list';
      readonly kind: 'list-received';
      readonly instances: readonly ListedInstance[];
    }
  | { readonly to: 'list'; readonly kind: 'list-failed'; readonly reason: string };

/** Events of a child that reads one stream. */
type ReadEvent<Child extends string> =
  | { readonly to: Child; readonly kind: 'read-ended'; readonly batch: LogBatch }
  | { readonly to: Child; readonly kind: 'read-failed'; readonly reason: string }
  | { readonly to: Child; readonly kind: 'read-due' }
  | { readonly to: Child; readonly kind: 'upkeep' };

export type IntentsEvent = ReadEvent<'intents'>;

export type ControlEvent =
  | ReadEvent<'control'>
  | { readonly to: 'control'; readonly kind: 'peer-answered'; readonly snapshot: unknown }
  | { readonly to: 'control'; readonly kind: 'peer-failed'; readonly reason: string };

export type AppendsEvent =
  | {
      readonly to: 'appends';
      readonly kind: 'append-requested';
      readonly stream: LogStream;
      readonly record: unknown;
      readonly owner: AppendOwner;
    }
  | { readonly to: 'appends'; readonly kind: 'commit-due'; readonly stream: LogStream }
  | {
      readonly to: 'appends';
      readonly kind: 'append-ended';
      readonly batchId: number;
      readonly result: AppendResult;
    };

export type MembershipEvent =
  | {
      readonly to: 'membership';
      readonly kind: 'heartbeat-received';
      readonly heartbeatId: string;
      readonly heartbeat: ReceivedHeartbeat;
    }
  | {
      readonly to: 'membership';
      readonly kind: 'list-updated';
      readonly instances: readonly ListedInstance[];
    }
  | {
      readonly to: 'membership';
      readonly kind: 'configuration-updated';
      readonly dataCentresOut: readonly string[];
      readonly offset: Offset;
    }
  | { readonly to: 'membership'; readonly kind: 'tick' };

export type RequestsEvent =
  | { readonly to: 'requests'; readonly kind: 'request-received'; readonly request: CallerRequest }
  | { readonly to: 'requests'; readonly kind: 'caller-disconnected'; readonly requestId: RequestId }
  | {
      readonly to: 'requests';
      readonly kind: 'endpoint-completed';
      readonly completion: EndpointCompletion;
    }
  | {
      readonly to: 'requests';
      readonly kind: 'resume-due';
      readonly requestId: RequestId;
      readonly generationId: GenerationId;
      readonly link: number;
    }
  | {
      readonly to: 'requests';
      readonly kind: 'intent-timer';
      readonly requestId: RequestId;
      readonly timer: IntentTimer;
      readonly round: number;
    }
  | {
      readonly to: 'requests';
      readonly kind: 'append-ended';
      readonly owner: Extract<AppendOwner, { readonly kind: 'intent' }>;
      readonly result: AppendResult;
    }
  | { readonly to: 'requests'; readonly kind: 'intents-folded' }
  | { readonly to: 'requests'; readonly kind: 'retry-due'; readonly requestId: RequestId }
  /** A heartbeat reported new load, so the endpoint may have free capacity. */
  | {
      readonly to: 'requests';
      readonly kind: 'capacity-changed';
      readonly endpoint: EndpointId;
      /** Instant of the endpoint's latest load report, by the clock of this process. */
      readonly reportedAt: Millis;
    }
  | {
      readonly to: 'requests';
      readonly kind: 'endpoint-lost';
      readonly endpoint: EndpointId;
      readonly incarnation: Incarnation;
      /** Start identity of the engine or service that was lost with its daemon. */
      readonly engineStart: string;
    }
  | { readonly to: 'requests'; readonly kind: 'tick' }
  | { readonly to: 'requests'; readonly kind: 'configuration-updated' }
  | { readonly to: 'requests'; readonly kind: 'drain-ended' };

/** Result of folding a record, identified by the nonce that its writer chose. */
export interface FoldedRecord {
  readonly nonce: string;
  readonly offset: Offset;
  readonly result: FoldResult;
}

/** Outcome of an operator's record. */
export type OperatorOutcome =
  | { readonly kind: 'in-force'; readonly offset: Offset }
  | { readonly kind: 'dry-run'; readonly change: ProposedChange }
  | { readonly kind: 'lost'; readonly winner: Winner }
  | { readonly kind: 'failed'; readonly failure: Failure };

export type OperatorEvent =
  | {
      readonly to: 'operator';
      readonly kind: 'record-posted';
      readonly operationId: string;
      readonly author: string;
      readonly body: unknown;
      readonly run: 'dry' | 'real';
    }
  | {
      readonly to: 'operator';
      readonly kind: 'append-ended';
      readonly operationId: string;
      readonly result: AppendResult;
    }
  | {
      readonly to: 'operator';
      readonly kind: 'records-folded';
      readonly folded: readonly FoldedRecord[];
    }
  | { readonly to: 'operator'; readonly kind: 'operation-expired'; readonly operationId: string };

export type MovesEvent =
  | { readonly to: 'moves'; readonly kind: 'configuration-updated' }
  | {
      readonly to: 'moves';
      readonly kind: 'evidence-received';
      readonly heartbeat: ReceivedHeartbeat;
    }
  /** The terminal record of an operator was appended through this daemon and is in force. */
  | { readonly to: 'moves'; readonly kind: 'end-accepted'; readonly name: string }
  | {
      readonly to: 'moves';
      readonly kind: 'notice-ended';
      readonly id: string;
      readonly result: 'sent' | 'failed';
    }
  | { readonly to: 'moves'; readonly kind: 'tick' };

export type FrontendEvent =
  | { readonly to: 'frontend'; readonly kind: 'request-arrived'; readonly request: CallerRequest }
  | { readonly to: 'frontend'; readonly kind: 'drain-started'; readonly reason: string }
  | { readonly to: 'frontend'; readonly kind: 'drain-checked'; readonly reads: 'due' | 'done' };

export type EntryEvent =
  | ListEvent
  | IntentsEvent
  | ControlEvent
  | AppendsEvent
  | MembershipEvent
  | RequestsEvent
  | OperatorEvent
  | MovesEvent
  | FrontendEvent;

export type EntryEffect =
  | LoopEffect<EntryEvent>
  | {
      readonly kind: 'record-latency';
      readonly name: string;
      readonly className: string;
      readonly duration: Millis;
    }
  /** Fails all open requests, because the `requests` child lost their state when it restarted. */
  | { readonly kind: 'reset-requests' }
  | { readonly kind: 'fetch-list' }
  | {
      readonly kind: 'read-log';
      readonly stream: LogStream;
      readonly from: Offset;
      readonly waitMs: Millis;
    }
  | {
      readonly kind: 'append-log';
      readonly stream: LogStream;
      readonly batchId: number;
      readonly records: readonly unknown[];
    }
  | { readonly kind: 'fetch-peer-configuration'; readonly url: string }
  | {
      readonly kind: 'reply-heartbeat';
      readonly heartbeatId: string;
      readonly reply: HeartbeatReply | null;
    }
  | { readonly kind: 'open-generation'; readonly open: OpenGeneration }
  | { readonly kind: 'close-link'; readonly generationId: GenerationId; readonly link: number }
  | {
      readonly kind: 'cancel-generation';
      readonly url: string;
      readonly generationId: GenerationId;
      readonly incarnation: Incarnation;
    }
  | { readonly kind: 'call-endpoint'; readonly call: OpenCall }
  | { readonly kind: 'fence-nonce'; readonly fence: FenceCommand }
  | {
      readonly kind: 'write-chunks';
      readonly requestId: RequestId;
      readonly customer: string;
      readonly model: string;
      readonly source: GenerationSource;
      readonly fromNumber: number;
      readonly chunks: readonly string[];
      /** A `stored` answer is written without a backlog limit, because its size is bounded. */
      readonly pace: 'live' | 'stored';
    }
  | { readonly kind: 'finish-generation'; readonly requestId: RequestId; readonly usage: string }
  | { readonly kind: 'send-answer'; readonly requestId: RequestId; readonly answer: ServiceAnswer }
  | { readonly kind: 'fail-request'; readonly requestId: RequestId; readonly failure: Failure }
  | {
      readonly kind: 'hand-over';
      readonly requestId: RequestId;
      readonly customer: string;
      readonly source: GenerationSource;
      readonly nextNumber: number;
    }
  | {
      readonly kind: 'reply-operator';
      readonly operationId: string;
      readonly outcome: OperatorOutcome;
    }
  | {
      readonly kind: 'notify-operators';
      readonly notice: OperatorNotice;
      /** Whether the result of the notice is posted as an event. */
      readonly report: 'wanted' | 'none';
    }
  | { readonly kind: 'end-process'; readonly left: number };

/** Unsolicited notification to operators. */
export interface OperatorNotice {
  /** Identical for all daemons that send the notice, so that the receiver can drop duplicates. */
  readonly id: string;
  readonly event: EventName;
  readonly entity: string;
  readonly at: Millis;
  readonly detail: string;
}
