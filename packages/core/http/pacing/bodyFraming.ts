import type { IncomingMessage } from 'node:http';
import { createChunkedEndFinder } from './chunkedEnds.js';
import type { ChunkedEndFinder } from './chunkedEnds.js';
import { assertNever } from '../../assertNever.js';

/** How the end of a body is found. */
export type BodyFraming =
  | { readonly kind: 'length'; leftBytes: number }
  | { readonly kind: 'chunks'; readonly finder: ChunkedEndFinder };

/**
 * Bytes of a body in chunks that are handed on in one step: the parser calls back for each chunk, and
 * a chunk may have one byte.
 */
const MAX_CHUNKED_STEP_BYTES = 8 * 1024;

/**
 * Takes the framing of a body from the head as the parser has read it.
 *
 * @param incoming - request whose head was parsed
 * @returns the framing at the begin of the body
 */
export const findFraming = ({ headers }: IncomingMessage): BodyFraming =>
  headers['transfer-encoding'] === undefined
    ? { kind: 'length', leftBytes: Number(headers['content-length'] ?? 0) }
    : { kind: 'chunks', finder: createChunkedEndFinder() };

/**
 * Counts the next bytes that belong to the body and are handed on in one step, and records them.
 *
 * @param framing - framing of the body, updated in place
 * @param bytes - bytes that follow those that were taken before
 * @returns number of bytes; 0 after the end of the body
 */
export const takeBody = (framing: BodyFraming, bytes: Buffer): number => {
  switch (framing.kind) {
    case 'length': {
      const count = Math.min(framing.leftBytes, bytes.length);
      framing.leftBytes -= count;
      return count;
    }
    case 'chunks': {
      const piece = bytes.subarray(0, MAX_CHUNKED_STEP_BYTES);
      const end = framing.finder.find(piece);
      return end === -1 ? piece.length : end;
    }
    default:
      return assertNever(framing);
  }
};
