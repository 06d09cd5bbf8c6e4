import type { Millis } from '../../core/clock.js';

/** Address to which a caller sends its requests, and its bearer key. */
export interface CallerTarget {
  readonly baseUrl: string;
  readonly key: string;
}

/** Server-sent event of a stream. */
export interface ServerSentEvent {
  readonly id: string | undefined;
  readonly event: string | undefined;
  readonly data: string;
}

/** Fields of a problem document that callers act on. */
export interface ProblemFields {
  readonly status: number;
  readonly code: string;
  readonly verdict: string;
  readonly detail: string;
  readonly requestId: string;
}

/** How a stream ended. */
export type StreamEnd =
  | { readonly kind: 'done' }
  /** The last event was an error event. */
  | { readonly kind: 'failed'; readonly problem: ProblemFields }
  /** The connection ended before `[DONE]` or an error event; the caller may resume the stream. */
  | { readonly kind: 'interrupted'; readonly reason: string };

/** Part of a stream that the caller has received so far. */
export interface StreamProgress {
  /** Texts of the chunks, in order of arrival. */
  readonly texts: readonly string[];
  /** Id of the latest chunk, to be sent as `Last-Event-ID`. */
  readonly lastEventId: string | undefined;
}

/** Content of a stream that was read to its end. */
export interface StreamResult extends StreamProgress {
  readonly end: StreamEnd;
  /** Time from sending the request to the first chunk; undefined without a chunk. */
  readonly firstChunkMs: Millis | undefined;
}

/** Outcome of opening a stream: a handle of the stream, or a refusal. */
export type StreamAnswer =
  | {
      readonly kind: 'stream';
      readonly requestId: string;
      /** Resolves when at least `count` chunks have been received or the stream has ended. */
      readonly waitForChunks: (count: number) => Promise<StreamProgress>;
      /** Resolves when the stream has ended. */
      readonly read: () => Promise<StreamResult>;
      /** Closes the connection before the end of the stream. */
      readonly close: () => void;
    }
  | { readonly kind: 'refused'; readonly status: number; readonly problem: ProblemFields };

/** Content of a chat completion request. */
export interface ChatOptions {
  readonly model: string;
  readonly content: string;
  /** Length of the answer that an engine stand-in generates. */
  readonly targetTokens?: number;
  readonly className?: string;
  /** Resumes the stream after this event. */
  readonly lastEventId?: string;
  readonly idempotencyKey?: string;
  /** Request id; engine stand-ins count generations by it. */
  readonly requestId?: string;
}

/** Request to a path of the caller API. */
export interface ServiceCall {
  readonly method: 'GET' | 'POST';
  /** Path below the base address. */
  readonly path: string;
  readonly idempotencyKey?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: unknown;
  readonly signal?: AbortSignal;
}

/** Answer of the caller API. */
export interface CallerAnswer {
  readonly status: number;
  /** Value of `Content-Type`. */
  readonly type: string;
  readonly requestId: string;
  readonly text: string;
  /** Parsed body; undefined when the body is not JSON. */
  readonly json: unknown;
}
