import type { IncomingMessage } from 'node:http';
import { createChunkJoiner } from './chunkJoiner.js';
import type { ChunkJoiner, JoinedPiece } from './chunkJoiner.js';
import { assertNever } from '../../assertNever.js';

/** How the end of a body is found. */
export type BodyFraming =
  | { readonly kind: 'length'; leftBytes: number }
  | { readonly kind: 'chunks'; readonly joiner: ChunkJoiner };

/**
 * Takes the framing of a body from the head as the parser has read it.
 *
 * @param incoming - request whose head was parsed
 * @returns the framing at the begin of the body
 */
export const findFraming = ({ headers }: IncomingMessage): BodyFraming =>
  headers['transfer-encoding'] === undefined
    ? { kind: 'length', leftBytes: Number(headers['content-length'] ?? 0) }
    : { kind: 'chunks', joiner: createChunkJoiner() };

/**
 * Takes the next bytes of a body that are handed on in one step.
 *
 * @param framing - framing of the body, updated in place
 * @param bytes - bytes that follow those that were taken before; those of chunks are overwritten
 * @returns number of bytes that were taken, 0 after the end of the body, and what the parser gets for them
 */
export const takeBody = (framing: BodyFraming, bytes: Buffer): JoinedPiece => {
  switch (framing.kind) {
    case 'length': {
      const takenBytes = Math.min(framing.leftBytes, bytes.length);
      framing.leftBytes -= takenBytes;
      return { takenBytes, bodyBytes: takenBytes, parts: [bytes.subarray(0, takenBytes)] };
    }
    case 'chunks':
      return framing.joiner.join(bytes);
    default:
      return assertNever(framing);
  }
};
