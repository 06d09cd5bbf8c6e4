import { createEmptyLineFinder } from './messageEnds.js';
import { assertNever } from '../../assertNever.js';

/** What is handed on for a piece of a body in chunks. */
export interface JoinedPiece {
  /** Bytes of the piece that belong to the body; those behind them follow the request. */
  readonly takenBytes: number;
  /** Those of them that are no framing. */
  readonly bodyBytes: number;
  /** Bytes for the parser, in order. */
  readonly parts: readonly Uint8Array[];
}

/**
 * Joins the chunks of a body over the pieces in which it arrives. The parser calls back for each chunk, which
 * costs a thousand times the byte that a chunk may consist of.
 */
export interface ChunkJoiner {
  /** Joins the chunks of the next bytes, which are overwritten. */
  readonly join: (bytes: Buffer) => JoinedPiece;
}

/** What the next byte of the body is. */
type ChunkPhase =
  /** The first digit of a size. */
  | 'size-start'
  /** A further digit, or the end of the size. */
  | 'size'
  | 'extension'
  /** The line feed after a size. */
  | 'size-end'
  | 'data'
  /** The carriage return after the data of a chunk. */
  | 'data-end'
  /** The line feed after it. */
  | 'data-line-feed'
  /** After the last chunk; the body ends with the next empty line. */
  | 'trailers'
  | 'ended'
  | 'invalid';

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const SEMICOLON = 59;
const HEX_BASE = 16;
const MAX_CHUNK_BYTES = 2 ** 40;

/** Limit of the extensions of one chunk, which is that of Node.js. */
const MAX_EXTENSION_BYTES = 16 * 1024;

const LINE_END = Buffer.from('\r\n');
const LAST_CHUNK = Buffer.from('0\r\n');

/** No size of a chunk begins so: the parser ends the request as unreadable. */
const INVALID_SIZE = Buffer.from('!');

const NOTHING: JoinedPiece = { takenBytes: 0, bodyBytes: 0, parts: [] };

/** Value of a digit of a size by its byte; -1 for other bytes. */
const DIGITS = Array.from({ length: 256 }, (_, byte) => {
  const value = Number.parseInt(String.fromCharCode(byte), HEX_BASE);
  return Number.isNaN(value) ? -1 : value;
});

const formatSize = (bytes: number): Buffer => Buffer.from(`${bytes.toString(HEX_BASE)}\r\n`);

/** Number of bytes below which a call that moves them takes longer than to move them one by one. */
const SHORT_MOVE_BYTES = 32;

const placeBytes = (bytes: Buffer, target: number, start: number, count: number): void => {
  if (target === start) return;
  if (count >= SHORT_MOVE_BYTES) bytes.copyWithin(target, start, start + count);
  else
    for (let index = 0; index < count; index += 1)
      bytes[target + index] = bytes[start + index] ?? 0;
};

/** Size of one digit and its line end. */
const SHORT_HEAD_BYTES = 3;

const isLineEnd = (bytes: Buffer, position: number): boolean =>
  bytes[position] === CARRIAGE_RETURN && bytes[position + 1] === LINE_FEED;

/**
 * Finds a whole chunk whose size has one digit, so that bodies of such chunks are read faster than byte
 * by byte.
 *
 * @returns its size; 0 if there is no such chunk
 */
const findShortChunk = (bytes: Buffer, position: number): number => {
  if (!isLineEnd(bytes, position + 1)) return 0;
  const size = DIGITS[bytes[position] ?? 0] ?? -1;
  return size > 0 && isLineEnd(bytes, position + SHORT_HEAD_BYTES + size) ? size : 0;
};

/**
 * Creates a joiner. Extensions are dropped, as their meaning is that of one connection.
 *
 * @returns the joiner, at the begin of a body
 */
export const createChunkJoiner = (): ChunkJoiner => {
  const finder = createEmptyLineFinder();
  let phase: ChunkPhase = 'size-start';
  let size = 0;
  /** Bytes of the chunk that are still to come. */
  let leftBytes = 0;
  let extensionBytes = 0;

  const readSize = (byte: number): ChunkPhase => {
    const digit = DIGITS[byte] ?? -1;
    if (digit !== -1) {
      size = size * HEX_BASE + digit;
      return size > MAX_CHUNK_BYTES ? 'invalid' : 'size';
    }
    if (phase === 'size-start') return 'invalid';
    if (byte === CARRIAGE_RETURN) return 'size-end';
    extensionBytes = 0;
    return byte === SEMICOLON ? 'extension' : 'invalid';
  };

  const readExtension = (byte: number): ChunkPhase => {
    if (byte === CARRIAGE_RETURN) return 'size-end';
    extensionBytes += 1;
    return byte === LINE_FEED || extensionBytes > MAX_EXTENSION_BYTES ? 'invalid' : 'extension';
  };

  const beginData = (): ChunkPhase => {
    if (size === 0) return 'trailers';
    leftBytes = size;
    size = 0;
    return 'data';
  };

  /** Reads one byte of the framing; returns what the next one is. */
  const readFraming = (byte: number): ChunkPhase => {
    switch (phase) {
      case 'size-start':
      case 'size':
        return readSize(byte);
      case 'extension':
        return readExtension(byte);
      case 'size-end':
        return byte === LINE_FEED ? beginData() : 'invalid';
      case 'data-end':
        return byte === CARRIAGE_RETURN ? 'data-line-feed' : 'invalid';
      case 'data-line-feed':
        return byte === LINE_FEED ? 'size-start' : 'invalid';
      case 'data':
      case 'trailers':
      case 'ended':
      case 'invalid':
        return phase;
      default:
        return assertNever(phase);
    }
  };

  // The phase also changes in functions that are called meanwhile, which the compiler cannot know.
  const isInvalid = (): boolean => phase === 'invalid';

  const isInChunks = (): boolean =>
    phase !== 'trailers' && phase !== 'ended' && phase !== 'invalid';

  /** Moves the data of the chunks to the begin of the bytes; returns how many were read and moved. */
  const joinData = (bytes: Buffer): { readonly read: number; readonly moved: number } => {
    let read = 0;
    let moved = 0;
    while (read < bytes.length && isInChunks()) {
      const shortBytes = phase === 'size-start' ? findShortChunk(bytes, read) : 0;
      if (shortBytes > 0) {
        const start = read + SHORT_HEAD_BYTES;
        placeBytes(bytes, moved, start, shortBytes);
        moved += shortBytes;
        read = start + shortBytes + LINE_END.length;
      } else if (phase === 'data') {
        const count = Math.min(leftBytes, bytes.length - read);
        placeBytes(bytes, moved, read, count);
        moved += count;
        read += count;
        leftBytes -= count;
        if (leftBytes === 0) phase = 'data-end';
      } else {
        phase = readFraming(bytes[read] ?? 0);
        read += 1;
      }
    }
    return { read, moved };
  };

  /** Takes the trailers, which the parser reads, and the empty line that ends them. */
  const takeTrailers = (bytes: Buffer): Buffer => {
    const end = finder.find(bytes);
    if (end === -1) finder.append(bytes);
    else phase = 'ended';
    return end === -1 ? bytes : bytes.subarray(0, end);
  };

  return {
    join: (bytes) => {
      if (phase === 'ended' || phase === 'invalid') return NOTHING;
      const wasInChunks = isInChunks();
      const { moved, read } = joinData(bytes);
      const parts: Uint8Array[] = [];
      if (moved > 0) parts.push(formatSize(moved), bytes.subarray(0, moved), LINE_END);
      if (isInvalid())
        return { takenBytes: bytes.length, bodyBytes: moved, parts: [...parts, INVALID_SIZE] };
      if (isInChunks()) return { takenBytes: read, bodyBytes: moved, parts };
      if (wasInChunks) {
        parts.push(LAST_CHUNK);
        // The line end of the last size is a part of the empty line.
        finder.append(LINE_END);
      }
      const trailers = takeTrailers(bytes.subarray(read));
      if (trailers.length > 0) parts.push(trailers);
      return { takenBytes: read + trailers.length, bodyBytes: moved, parts };
    },
  };
};
