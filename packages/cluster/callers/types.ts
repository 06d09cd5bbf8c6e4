import type { Millis } from '../../core/clock.js';

/** Caller of the system: where and with which key. */
export interface CallerTarget {
  readonly baseUrl: string;
  readonly key: string;
}

/** One event of a stream, as the caller receives it. */
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
  /** An explicit error event was the last. */
  | { readonly kind: 'failed'; readonly problem: ProblemFields }
  /** The connection ended without an end mark; the caller may resume. */
  | { readonly kind: 'cut'; readonly reason: string };

/** What a caller has of a stream so far. */
export interface StreamProgress {
  /** Texts of the chunks, in order of arrival. */
  readonly texts: readonly string[];
  /** Id of the newest chunk, for `Last-Event-ID`. */
  readonly lastEventId: string | undefined;
}

/** A stream that was read to its end. */
export interface ReadStream extends StreamProgress {
  readonly end: StreamEnd;
  /** Time from the request to the first chunk; undefined without a chunk. */
  readonly firstChunkMs: Millis | undefined;
}

/** Answer to a request for a stream. */
export type StreamAnswer =
  | {
      readonly kind: 'stream';
      readonly requestId: string;
      /** Resolves with the progress once that many chunks are there, or the stream has ended. */
      readonly waitForChunks: (count: number) => Promise<StreamProgress>;
      /** Reads to the end. */
      readonly read: () => Promise<ReadStream>;
      /** Leaves before the end. */
      readonly close: () => void;
    }
  | { readonly kind: 'refused'; readonly status: number; readonly problem: ProblemFields };

export interface ChatOptions {
  readonly model: string;
  readonly content: string;
  /** Length of the answer of an engine stand-in. */
  readonly targetTokens?: number;
  readonly className?: string;
  readonly lastEventId?: string;
  readonly idempotencyKey?: string;
  /** Counted by the engine stand-in. */
  readonly requestId?: string;
}

/** Call of a plain service. */
export interface ServiceCall {
  readonly method: 'GET' | 'POST';
  /** Path below the base address. */
  readonly path: string;
  readonly idempotencyKey?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: unknown;
  readonly signal?: AbortSignal;
}

export interface CallerAnswer {
  readonly status: number;
  readonly type: string;
  readonly requestId: string;
  readonly text: string;
  /** Parsed body; undefined when it is no JSON. */
  readonly json: unknown;
}
