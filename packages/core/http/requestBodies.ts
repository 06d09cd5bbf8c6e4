import type { IncomingMessage } from 'node:http';
import { appendChunk, computeNextBlock, createByteBlocks, takeParts } from '../bytes/byteBlocks.js';
import type { MemoryAccount } from '../memory/types.js';

/** How the body of a request ended. */
export type BodyResult =
  | {
      readonly kind: 'whole';
      /** Parts of the body, in order. */
      readonly body: readonly Uint8Array[];
      /** To be called once the request has ended; until then the body stays reserved. */
      readonly release: () => void;
    }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'no-room' }
  | { readonly kind: 'broken' };

/** Reads the bodies of requests, within a limit of all that are kept. */
export interface RequestBodies {
  readonly read: (incoming: IncomingMessage) => Promise<BodyResult>;
  /** Sets the size limit of one body. */
  readonly setMaxBodyBytes: (maxBodyBytes: number) => void;
}

/** Memory of one body. */
interface BodyMemory {
  readonly reserve: (bytes: number) => 'reserved' | 'full';
  readonly release: () => void;
}

const createBodyMemory = (account: MemoryAccount): BodyMemory => {
  let reserved = 0;
  return {
    reserve: (bytes) => {
      if (account.reserve(bytes) === 'full') return 'full';
      reserved += bytes;
      return 'reserved';
    },
    release: () => {
      account.release(reserved);
      reserved = 0;
    },
  };
};

/**
 * Reports whether a body would fit now. It is reserved as it arrives: a caller that states a length and
 * sends nothing must not take the room of others.
 */
const hasRoom = (account: MemoryAccount, bytes: number): boolean => {
  if (account.reserve(bytes) === 'full') return false;
  account.release(bytes);
  return true;
};

/** Returns the stated length of a body; 0 for one in chunks, or without one. */
const readStatedLength = ({ headers }: IncomingMessage): number => {
  const length = Number(headers['content-length'] ?? 0);
  return Number.isFinite(length) ? length : 0;
};

/**
 * Creates the reader of request bodies. The memory of a body is reserved before it is kept, and stays
 * reserved until its request has ended, since a retry sends it again. A body with a stated length is
 * refused before it is read if there is no room for it now.
 *
 * @param account - memory for all bodies
 * @param initialMaxBodyBytes - size limit of one body at first
 * @returns the reader
 */
export const createRequestBodies = (
  account: MemoryAccount,
  initialMaxBodyBytes: number,
): RequestBodies => {
  let maxBodyBytes = initialMaxBodyBytes;

  const read = (incoming: IncomingMessage): Promise<BodyResult> =>
    new Promise((resolve) => {
      const memory = createBodyMemory(account);
      const body = createByteBlocks();
      let phase: 'receiving' | 'settled' = 'receiving';
      const settle = (result: BodyResult): void => {
        if (phase === 'settled') return;
        phase = 'settled';
        incoming.off('data', addChunk);
        if (result.kind !== 'whole') {
          // The listeners keep the blocks for as long as the rest of the body arrives.
          takeParts(body);
          memory.release();
        }
        resolve(result);
      };
      const addChunk = (chunk: Buffer): void => {
        if (body.length + chunk.length > maxBodyBytes) {
          settle({ kind: 'too-large' });
          return;
        }
        const next = computeNextBlock(body, chunk.length);
        if (next > 0 && memory.reserve(next) === 'full') settle({ kind: 'no-room' });
        else appendChunk(body, chunk);
      };
      // `close` handles the end of the connection; an error without a listener would end the process.
      incoming.on('error', () => undefined);
      incoming.on('close', () => {
        settle({ kind: 'broken' });
      });
      const statedLength = readStatedLength(incoming);
      if (statedLength > maxBodyBytes) {
        settle({ kind: 'too-large' });
        return;
      }
      if (!hasRoom(account, statedLength)) {
        settle({ kind: 'no-room' });
        return;
      }
      incoming.on('data', addChunk);
      incoming.on('end', () => {
        settle({ kind: 'whole', body: takeParts(body), release: memory.release });
      });
    });

  return {
    read,
    setMaxBodyBytes: (next) => {
      maxBodyBytes = next;
    },
  };
};
