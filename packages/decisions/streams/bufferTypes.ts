import type { ChunkRing } from './chunkRing.js';
import type { Chunk } from './types.js';
import type { Millis } from '../../core/clock.js';
import type { Failure } from '../../core/verdict.js';

/** One caller's stream at an entry daemon, and the number of its link to this buffer. */
export interface ReaderIdentity {
  readonly stream: string;
  readonly link: number;
}

/** The active reader of a generation. */
export interface Reader extends ReaderIdentity {
  /** Next chunk number to send. */
  readonly sent: number;
  /** First chunk number that the reader has not confirmed to have taken. */
  readonly taken: number;
  /** Last instant at which the reader took something or had nothing to take. */
  readonly activeAt: Millis;
}

/** How the engine ended a generation. */
export type BufferEnd =
  | { readonly kind: 'finished'; readonly usage: string }
  | { readonly kind: 'failed'; readonly failure: Failure };

/** `ended` generations stay readable until they are released. */
export type BufferPhase = 'generating' | 'ended' | 'released';

/** Whether chunks are read from the engine's connection now. */
export type EngineFlow = 'flowing' | 'paused';

/** Bounds of one buffer; bytes are counted as the length of the JSON strings. */
export interface BufferLimits {
  readonly maxChunks: number;
  readonly maxBytes: number;
  readonly windowChunks: number;
  /**
   * What becomes of a generation that nobody reads. `kept` ones run to their end without holding
   * the engine back, because their caller may ask for the answer by its key.
   */
  readonly orphans: 'cancelled' | 'kept';
}

/** Buffer of one generation at its endpoint daemon. */
export interface BufferState {
  readonly limits: BufferLimits;
  readonly phase: BufferPhase;
  readonly flow: EngineFlow;
  readonly ring: ChunkRing;
  readonly reader: Reader | null;
  /** Streams whose caller went on elsewhere; a late resume of theirs must not win the reader back. */
  readonly replaced: readonly string[];
  readonly end: BufferEnd | null;
  /** Instant since which nobody reads, or since which the generation has ended. */
  readonly idleSince: Millis;
}

/** What the engine, a reader or the clock does to a buffer. */
export type BufferEvent =
  | { readonly kind: 'engine-chunks'; readonly chunks: readonly Chunk[]; readonly now: Millis }
  | { readonly kind: 'engine-finished'; readonly usage: string; readonly now: Millis }
  | { readonly kind: 'engine-failed'; readonly failure: Failure; readonly now: Millis }
  | ({
      readonly kind: 'reader-opened';
      readonly fromNumber: number;
      readonly now: Millis;
    } & ReaderIdentity)
  | ({
      readonly kind: 'reader-took';
      readonly nextNumber: number;
      readonly now: Millis;
    } & ReaderIdentity)
  | ({ readonly kind: 'reader-closed'; readonly now: Millis } & ReaderIdentity)
  | { readonly kind: 'cancelled'; readonly now: Millis }
  | { readonly kind: 'tick'; readonly now: Millis };

/** Messages to readers and orders to the engine. */
export type BufferEffect =
  | ({
      readonly kind: 'send-chunks';
      readonly firstNumber: number;
      readonly chunks: readonly Chunk[];
    } & ReaderIdentity)
  | ({
      readonly kind: 'send-finished';
      readonly chunkCount: number;
      readonly usage: string;
    } & ReaderIdentity)
  | ({ readonly kind: 'send-failed'; readonly failure: Failure } & ReaderIdentity)
  | { readonly kind: 'pause-engine' }
  | { readonly kind: 'continue-engine' }
  | { readonly kind: 'cancel-engine' }
  /** The buffer holds nothing more and can be forgotten. */
  | { readonly kind: 'release' };
