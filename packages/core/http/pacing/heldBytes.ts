import type { Millis } from '../../clock.js';

/** Bytes that have been read at one time. */
export interface HeldChunk {
  bytes: Buffer;
  readonly receivedAt: Millis;
}

/** Bytes of a connection that have been read and are not handed on yet, as they arrived. */
export interface HeldBytes {
  readonly append: (bytes: Buffer, receivedAt: Millis) => void;
  readonly getFirst: () => HeldChunk | undefined;
  /** Takes the first bytes of the first chunk. */
  readonly take: (count: number) => Buffer;
  /** Drops all bytes but the first ones of the first chunk. */
  readonly limitTo: (count: number) => void;
  readonly countBytes: () => number;
  /** Returns the memory that they take. */
  readonly getMemory: () => number;
}

/** Memory of a chunk beyond its bytes; without it, many small ones would cost nothing. */
const CHUNK_OVERHEAD_BYTES = 256;

/**
 * Creates a queue of held bytes. They are not copied.
 *
 * @returns the empty queue
 */
export const createHeldBytes = (): HeldBytes => {
  const chunks: HeldChunk[] = [];
  let length = 0;
  return {
    append: (bytes, receivedAt) => {
      chunks.push({ bytes, receivedAt });
      length += bytes.length;
    },
    getFirst: () => chunks[0],
    take: (count) => {
      const [first] = chunks;
      if (first === undefined) return Buffer.alloc(0);
      const { bytes } = first;
      const taken = count < bytes.length ? bytes.subarray(0, count) : bytes;
      length -= taken.length;
      if (taken === bytes) chunks.shift();
      else first.bytes = bytes.subarray(count);
      return taken;
    },
    limitTo: (count) => {
      const [first] = chunks;
      chunks.length = 0;
      length = 0;
      if (first === undefined || count === 0) return;
      first.bytes = first.bytes.subarray(0, count);
      length = first.bytes.length;
      chunks.push(first);
    },
    countBytes: () => length,
    getMemory: () => length + chunks.length * CHUNK_OVERHEAD_BYTES,
  };
};
