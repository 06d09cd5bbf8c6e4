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
  /** First chunk number that the reader has not acknowledged. */
  readonly acknowledged: number;
  /** Last instant at which the reader acknowledged chunks or had none to acknowledge. */
  readonly lastProgressAt: Millis;
}

/** How the engine ended a generation. */
export type BufferEnd =
  | { readonly kind: 'finished'; readonly usage: string }
  | { readonly kind: 'failed'; readonly failure: Failure };

/** Phase of a buffer; an `ended` generation stays readable until it is released. */
export type BufferPhase = 'generating' | 'ended' | 'released';

/** Whether chunks are currently read from the engine's connection. */
export type EngineFlow = 'flowing' | 'paused';

/** Limits of one buffer; bytes are counted as the length of the JSON strings. */
export interface BufferLimits {
  readonly maxChunks: number;
  readonly maxBytes: number;
  readonly windowChunks: number;
  /**
   * Whether a generation without a reader is cancelled. With `kept` it runs to its end and
   * does not pause the engine, because its caller may request the answer by its idempotency key.
   */
  readonly orphans: 'cancelled' | 'kept';
}

/** State of the buffer of one generation at its endpoint daemon. */
export interface BufferState {
  readonly limits: BufferLimits;
  readonly phase: BufferPhase;
  readonly flow: EngineFlow;
  readonly ring: ChunkRing;
  readonly reader: Reader | null;
  /** Streams whose reader was replaced; a late resume of one must not replace the newer reader. */
  readonly replaced: readonly string[];
  readonly end: BufferEnd | null;
  /** Instant since which there is no reader or, in `ended`, at which the generation ended. */
  readonly idleSince: Millis;
}

/** Events from the engine, a reader or the clock. */
export type BufferEvent =
  | { readonly kind: 'engine-chunks'; readonly chunks: readonly Chunk[]; readonly now: Millis }
  | { readonly kind: 'engine-finished'; readonly usage: string; readonly now: Millis }
  | { readonly kind: 'engine-failed'; readonly failure: Failure; readonly now: Millis }
  | ({
      readonly kind: 'reader-opened';
      readonly fromNumber: number;
      readonly now: Millis;
    } & ReaderIdentity)
  /** The reader acknowledged all chunks before `nextNumber`. */
  | ({
      readonly kind: 'reader-acknowledged';
      readonly nextNumber: number;
      readonly now: Millis;
    } & ReaderIdentity)
  | ({ readonly kind: 'reader-closed'; readonly now: Millis } & ReaderIdentity)
  | { readonly kind: 'cancelled'; readonly now: Millis }
  | { readonly kind: 'tick'; readonly now: Millis };

/** Messages to readers and commands to the engine. */
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
  /** The buffer is empty and its state can be deleted. */
  | { readonly kind: 'release' };
