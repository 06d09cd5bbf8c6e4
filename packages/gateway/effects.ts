import type { GatewayEvent, SentUsage } from './events.js';
import type { AnswerHead, AttemptHead, FeedName, FeedPosition, TransferOrder } from './types.js';
import type { PeerMessage } from './peers/types.js';
import type { LeaseAppend, UsageReport } from './usage/types.js';
import type { QuarantineRecord } from './quarantine/types.js';
import type { Millis } from '../core/clock.js';
import type { LoopEffect } from '../core/loop/effects.js';
import type { Failure } from '../core/verdict.js';
import type {
  EndpointAddress,
  EndpointIncarnation,
  ForwardRequest,
  ServiceName,
} from '../decisions/forwarding/types.js';
import type { Fingerprint } from '../decisions/quarantine/types.js';

/** An attempt to send to an endpoint. */
export interface AttemptOrder {
  readonly key: number;
  readonly attempt: number;
  readonly address: EndpointAddress;
  readonly service: ServiceName;
  /** Start time of the endpoint, which with its id and address identifies the incarnation. */
  readonly startedAt: Millis | null;
  readonly head: AttemptHead;
  readonly request: ForwardRequest;
}

export type GatewayEffect =
  | LoopEffect<GatewayEvent>
  | {
      readonly kind: 'count';
      readonly name: string;
      readonly labels: Readonly<Record<string, string>>;
    }
  | {
      readonly kind: 'record-latency';
      readonly name: string;
      readonly route: string;
      readonly duration: Millis;
    }
  | { readonly kind: 'load-feed'; readonly feed: FeedName }
  | {
      readonly kind: 'read-feed';
      readonly feed: FeedName;
      readonly position: FeedPosition;
      readonly waitMs: Millis;
    }
  | {
      readonly kind: 'send-peers';
      readonly hosts: readonly string[];
      readonly message: PeerMessage;
    }
  /** Connects to the endpoint; `send-attempt` sends the request. */
  | { readonly kind: 'open-attempt'; readonly order: AttemptOrder }
  | {
      readonly kind: 'send-attempt';
      readonly key: number;
      readonly attempt: number;
      /** Time left until the deadline of the answer. */
      readonly leftMs: Millis;
    }
  | {
      readonly kind: 'start-transfer';
      readonly key: number;
      readonly attempt: number;
      readonly source: EndpointIncarnation;
      readonly order: TransferOrder;
    }
  /** Orders an engine to stop the run of an attempt that was given up. */
  | {
      readonly kind: 'stop-run';
      readonly key: number;
      readonly attempt: number;
      readonly source: EndpointIncarnation;
      readonly order: TransferOrder;
    }
  | {
      readonly kind: 'release-copy';
      /** Endpoint that made the copy. */
      readonly source: EndpointIncarnation;
      readonly handle: string;
    }
  | {
      readonly kind: 'read-report';
      readonly endpoint: EndpointIncarnation;
    }
  | { readonly kind: 'load-lease' }
  | { readonly kind: 'append-lease'; readonly append: LeaseAppend }
  | { readonly kind: 'report-usage'; readonly report: UsageReport }
  | {
      readonly kind: 'send-usage';
      readonly hosts: readonly string[];
      readonly message: SentUsage;
    }
  | { readonly kind: 'load-quarantines' }
  | { readonly kind: 'save-quarantine'; readonly record: QuarantineRecord }
  | { readonly kind: 'remove-quarantines'; readonly fingerprints: readonly Fingerprint[] }
  | {
      readonly kind: 'probe-endpoint';
      readonly key: number;
      readonly attempt: number;
      readonly address: EndpointAddress;
    }
  /** Asks the engine of an attempt on a new connection what it runs. */
  | {
      readonly kind: 'check-run';
      readonly key: number;
      readonly attempt: number;
      readonly requestId: string;
      readonly endpoint: EndpointIncarnation;
    }
  | { readonly kind: 'cancel-attempt'; readonly key: number; readonly attempt: number }
  | { readonly kind: 'start-answer'; readonly key: number; readonly head: AnswerHead }
  | { readonly kind: 'write-answer'; readonly key: number; readonly bytes: Uint8Array }
  | { readonly kind: 'end-answer'; readonly key: number }
  | {
      readonly kind: 'send-whole';
      readonly key: number;
      readonly head: AnswerHead;
      /** Parts of the body, in order. */
      readonly body: readonly Uint8Array[];
    }
  | { readonly kind: 'refuse'; readonly key: number; readonly failure: Failure }
  | { readonly kind: 'break-answer'; readonly key: number }
  | { readonly kind: 'reset-requests' }
  | {
      readonly kind: 'apply-limits';
      readonly idleTimeoutMs: Millis;
      readonly headerTimeoutMs: Millis;
      readonly maxBodyBytes: number;
    }
  | { readonly kind: 'close-idle' }
  | { readonly kind: 'end-process'; readonly left: number };
