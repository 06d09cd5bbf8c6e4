import type { Chunk } from './types.js';

/**
 * Numbered chunks of one generation, within limits of their count and bytes.
 *
 * The ring is updated in place: a generation has tens of thousands of chunks, and a copy for each
 * would take quadratic time. Only `buffer.ts` uses it.
 */
export interface ChunkRing {
  /** Adds chunks at the end. */
  readonly append: (chunks: readonly Chunk[]) => void;
  /** Lists at most `limit` chunks from a number on, which must not be below `getFirst()`. */
  readonly list: (fromNumber: number, limit: number) => readonly Chunk[];
  /** Drops the oldest chunks below a number until the rest is within both limits. */
  readonly prune: (belowNumber: number, maxChunks: number, maxBytes: number) => void;
  /** Drops all chunks; the numbering continues. */
  readonly clear: () => void;
  /** Returns the number of the oldest buffered chunk. */
  readonly getFirst: () => number;
  /** Returns the number of the next chunk to be appended. */
  readonly getNext: () => number;
  /** Returns the total length of the buffered chunks. */
  readonly getBytes: () => number;
}

/** Number of dropped entries at the head of the list from which it is compacted. */
const COMPACTION_CHUNKS = 1_024;

/**
 * Creates an empty ring.
 *
 * @returns a ring whose first chunk gets number 0
 */
export const createChunkRing = (): ChunkRing => {
  let items: Chunk[] = [];
  let head = 0;
  let first = 0;
  let bytes = 0;

  const getNext = (): number => first + items.length - head;

  const dropOldest = (): void => {
    bytes -= items[head]?.length ?? 0;
    items[head] = '';
    head += 1;
    first += 1;
  };

  return {
    append: (chunks) => {
      for (const chunk of chunks) {
        items.push(chunk);
        bytes += chunk.length;
      }
    },
    list: (fromNumber, limit) => {
      const start = head + fromNumber - first;
      return items.slice(start, start + limit);
    },
    prune: (belowNumber, maxChunks, maxBytes) => {
      while (first < belowNumber && (items.length - head > maxChunks || bytes > maxBytes)) {
        dropOldest();
      }
      if (head < COMPACTION_CHUNKS) return;
      items = items.slice(head);
      head = 0;
    },
    clear: () => {
      first = getNext();
      items = [];
      head = 0;
      bytes = 0;
    },
    getFirst: () => first,
    getNext,
    getBytes: () => bytes,
  };
};
