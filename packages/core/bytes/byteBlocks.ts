/**
 * Size of the blocks in bytes. The first ones are smaller, so that what is not filled of a block is
 * less than what is. Larger ones have the size of the chunks that a connection is read in: memory that
 * one of them leaves then fits the next, and the memory of the process does not become fragmented.
 */
const MIN_BLOCK_BYTES = 4 * 1024;
const MAX_BLOCK_BYTES = 64 * 1024;

/**
 * Bytes that arrive in chunks, in blocks that are never joined. The chunks are copied: many small ones
 * would take several times their size, and a joined copy would double it.
 */
export interface ByteBlocks {
  readonly blocks: Uint8Array[];
  /** Bytes of the last block that are filled; the others are full. */
  filledOfLast: number;
  /** Bytes of all blocks, filled or not. */
  allocatedBytes: number;
  /** Number of appended bytes. */
  length: number;
}

/**
 * Creates blocks without bytes.
 *
 * @returns the empty blocks
 */
export const createByteBlocks = (): ByteBlocks => ({
  blocks: [],
  filledOfLast: 0,
  allocatedBytes: 0,
  length: 0,
});

/**
 * Allocates the next block, as for a body with a stated length.
 *
 * @param target - blocks whose last one is full
 * @param size - size of the block in bytes
 */
export const addBlock = (target: ByteBlocks, size: number): void => {
  target.blocks.push(Buffer.allocUnsafeSlow(size));
  target.filledOfLast = 0;
  target.allocatedBytes += size;
};

const countFree = ({ blocks, filledOfLast }: ByteBlocks): number =>
  (blocks.at(-1)?.length ?? 0) - filledOfLast;

/**
 * Computes how many bytes have to be allocated before some can be appended.
 *
 * @param target - blocks
 * @param bytes - number of bytes to append
 * @returns size of the next block in bytes; 0 if there is room
 */
export const computeNextBlock = (target: ByteBlocks, bytes: number): number => {
  const missing = bytes - countFree(target);
  if (missing <= 0) return 0;
  // A whole answer or body in one chunk takes no more than its size.
  if (target.length === 0) return missing;
  const size = Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, target.length));
  return Math.max(size, missing);
};

/**
 * Appends a copy of a chunk; allocates the next block if there is not enough room.
 *
 * @param target - blocks
 * @param chunk - bytes to append
 */
export const appendChunk = (target: ByteBlocks, chunk: Uint8Array): void => {
  const next = computeNextBlock(target, chunk.length);
  const head = chunk.subarray(0, countFree(target));
  target.blocks.at(-1)?.set(head, target.filledOfLast);
  target.filledOfLast += head.length;
  if (next > 0) {
    addBlock(target, next);
    const rest = chunk.subarray(head.length);
    target.blocks.at(-1)?.set(rest);
    target.filledOfLast = rest.length;
  }
  target.length += chunk.length;
};

/**
 * Lists the appended bytes in order.
 *
 * @param source - blocks
 * @returns views of the blocks; none without bytes
 */
export const listParts = ({ blocks, filledOfLast, length }: ByteBlocks): readonly Uint8Array[] =>
  length === 0
    ? []
    : blocks.map((block, index) =>
        index === blocks.length - 1 ? block.subarray(0, filledOfLast) : block,
      );

/**
 * Takes the appended bytes out of the blocks, which are empty then.
 *
 * @param source - blocks
 * @returns the bytes in order, in parts; none without bytes
 */
export const takeParts = (source: ByteBlocks): readonly Uint8Array[] => {
  const parts = listParts(source);
  source.blocks.length = 0;
  source.filledOfLast = 0;
  source.allocatedBytes = 0;
  source.length = 0;
  return parts;
};
