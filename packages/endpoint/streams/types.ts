import type { Millis } from '../../core/clock.js';
import type { GenerationId } from '../../core/ids.js';
import type { BufferState } from '../../decisions/streams/bufferTypes.js';
import type { CallId, GenerateCall } from '../types.js';

/** What is kept of an answer for a repeated key; updated in place with each chunk. */
export interface AnswerRecord {
  /** Digest over all chunks so far, each hashed with the digest before it. */
  digest: string;
  bytes: number;
  /** Null once the answer is too large to be kept. */
  choices: string[] | null;
}

/** One generation of this endpoint with its buffer and its timing. */
export interface Generation {
  readonly call: GenerateCall;
  readonly buffer: BufferState;
  readonly startedAt: Millis;
  readonly firstChunkAt: Millis | null;
  readonly lastChunkAt: Millis | null;
  readonly chunkCount: number;
  /** Last report of progress to the admission limit. */
  readonly reportedAt: Millis | null;
  readonly reportedCount: number;
  /** Answer of a generation that must run at most once; null for others. */
  readonly record: AnswerRecord | null;
}

/** Which generation an open call of an entry daemon reads. */
export interface ReaderRegistration {
  readonly generationId: GenerationId;
  readonly stream: string;
  readonly link: number;
}

/**
 * Generations and their readers. The maps are owned by the `streams` child and updated in place,
 * since thousands of generations get a chunk every few milliseconds.
 */
export interface StreamsState {
  readonly generations: Map<GenerationId, Generation>;
  readonly readers: Map<CallId, ReaderRegistration>;
  readonly callIds: Map<string, CallId>;
  /**
   * Generations whose resume was refused, with the time of the refusal. Their entry daemon may have
   * started them elsewhere, so a start that arrives late must be refused as well.
   */
  readonly refusedResumes: Map<GenerationId, Millis>;
  /** Generations that the engine works on. */
  running: number;
}
