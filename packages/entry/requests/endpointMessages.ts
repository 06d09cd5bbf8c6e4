import type { GenerationId, Incarnation, RequestId } from '../../core/ids.js';
import type { Failure } from '../../core/verdict.js';
import type { SendPermit } from '../../decisions/retries/types.js';
import type { HeaderField, ServiceAnswer } from '../types.js';

/** Identifies a link: one call that streams a generation from an endpoint daemon. */
export interface LinkKey {
  readonly requestId: RequestId;
  readonly generationId: GenerationId;
  readonly link: number;
}

/** Parameters of a call that starts a generation or resumes its stream. */
export interface OpenGeneration extends LinkKey {
  readonly url: string;
  readonly mode: 'start' | 'resume';
  /** Number of the first chunk to send. */
  readonly fromNumber: number;
  readonly incarnation: Incarnation;
  readonly customer: string;
  readonly className: string;
  readonly route: string;
  readonly importance: string;
  readonly permit: SendPermit;
  readonly fingerprint: string;
  readonly promptTokens: number;
  readonly nonce: string | null;
  readonly body: Uint8Array;
}

/** Parameters of a call to a plain service. */
export interface OpenCall {
  readonly url: string;
  readonly requestId: RequestId;
  readonly permit: SendPermit;
  readonly customer: string;
  readonly className: string;
  readonly importance: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
  readonly incarnation: Incarnation;
  readonly nonce: string | null;
  readonly key: string | null;
  readonly fingerprint: string;
}

/** Nonce to fence at the endpoint daemon that its intent names. */
export interface FenceCommand {
  readonly url: string;
  readonly requestId: RequestId;
  readonly nonce: string;
  readonly incarnation: Incarnation;
}

/** Results of the calls to endpoint daemons, posted as events. */
export type EndpointCompletion =
  | ({ readonly kind: 'link-opened' } & LinkKey)
  | ({
      readonly kind: 'chunks-received';
      readonly firstNumber: number;
      readonly choices: readonly string[];
    } & LinkKey)
  | ({
      readonly kind: 'generation-finished';
      readonly chunkCount: number;
      readonly usage: string;
      /** Digest of the answer of a generation that must run at most once, else empty. */
      readonly digest: string;
    } & LinkKey)
  | ({ readonly kind: 'generation-failed'; readonly failure: Failure } & LinkKey)
  /** The link was lost; `unsent` proves that the request never left this process. */
  | ({
      readonly kind: 'link-lost';
      readonly sent: 'sent' | 'unsent';
      readonly reason: string;
    } & LinkKey)
  | {
      readonly kind: 'call-answered';
      readonly requestId: RequestId;
      readonly attempt: number;
      readonly answer: ServiceAnswer;
    }
  | {
      readonly kind: 'call-failed';
      readonly requestId: RequestId;
      readonly attempt: number;
      readonly failure: Failure;
    }
  | {
      readonly kind: 'fence-answered';
      readonly requestId: RequestId;
      readonly nonce: string;
      readonly result: FenceAnswer;
    };

/** Reply to a fence request: the state of the nonce at the endpoint daemon, if it was reached. */
export type FenceAnswer =
  | { readonly kind: 'fenced' }
  | { readonly kind: 'started' }
  | { readonly kind: 'finished'; readonly answer: ServiceAnswer | null }
  | { readonly kind: 'unknown-incarnation' }
  | { readonly kind: 'unreachable'; readonly reason: string };

/** Adapter that calls endpoint daemons; results are posted as events. */
export interface EndpointClient {
  readonly openGeneration: (open: OpenGeneration) => void;
  /** Stops reading a link; the generation continues at the endpoint daemon. */
  readonly closeLink: (generationId: GenerationId, link: number) => void;
  readonly cancelGeneration: (
    url: string,
    generationId: GenerationId,
    incarnation: Incarnation,
  ) => void;
  readonly callEndpoint: (call: OpenCall) => void;
  readonly fenceNonce: (command: FenceCommand) => void;
  readonly close: () => void;
}
