import type { Millis } from '../../core/clock.js';
import type { GenerationId } from '../../core/ids.js';
import type { BufferState } from '../../decisions/streams/bufferTypes.js';
import type { CallId, GenerateCall } from '../types.js';

/** Answer recorded for later requests with the same key; updated in place with each chunk. */
export interface AnswerRecord {
  /** Hash chain over the chunks so far: each chunk is hashed together with the previous digest. */
  digest: string;
  bytes: number;
  /** Null once the answer is too large to be retained. */
  choices: string[] | null;
}

/** One generation of this endpoint, with its buffer and its timing. */
export interface Generation {
  readonly call: GenerateCall;
  readonly buffer: BufferState;
  readonly startedAt: Millis;
  readonly firstChunkAt: Millis | null;
  readonly lastChunkAt: Millis | null;
  readonly chunkCount: number;
  /** Time of the last progress report to the admission limit; null before the first. */
  readonly reportedAt: Millis | null;
  /** Chunk count at the last progress report. */
  readonly reportedCount: number;
  /** Answer of a generation that must run at most once; null for others. */
  readonly record: AnswerRecord | null;
}

/** Generation that an open call of an entry daemon reads, and the identity of the reader. */
export interface ReaderRegistration {
  readonly generationId: GenerationId;
  readonly stream: string;
  readonly link: number;
}

/**
 * Generations and their readers. The `streams` child owns the maps and updates them in place, since
 * thousands of generations receive a chunk every few milliseconds.
 */
export interface StreamsState {
  readonly generations: Map<GenerationId, Generation>;
  readonly readers: Map<CallId, ReaderRegistration>;
  /** Open call of each reader, by the reader's key. */
  readonly callIds: Map<string, CallId>;
  /**
   * Generations whose resume was refused, with the time of the refusal. Their entry daemon may have
   * started them elsewhere, so a start that arrives late must be refused too.
   */
  readonly refusedResumes: Map<GenerationId, Millis>;
  /** Number of generations that are running on the engine. */
  running: number;
}
