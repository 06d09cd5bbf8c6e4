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
  /** Returns the size limit of one body. */
  readonly getMaxBodyBytes: () => number;
  /** Sets the size limit of one body. */
  readonly setMaxBodyBytes: (maxBodyBytes: number) => void;
}

/** Memory of one body. */
interface BodyMemory {
  /** Reserves bytes for which there is room. */
  readonly reserve: (bytes: number) => void;
  readonly release: () => void;
}

const createBodyMemory = (account: MemoryAccount): BodyMemory => {
  let reserved = 0;
  return {
    reserve: (bytes) => {
      account.reserve(bytes);
      reserved += bytes;
    },
    release: () => {
      account.release(reserved);
      reserved = 0;
    },
  };
};

/** Returns the stated length of a body; 0 for one in chunks, or without one. */
const readStatedLength = ({ headers }: IncomingMessage): number => {
  const length = Number(headers['content-length'] ?? 0);
  return Number.isFinite(length) ? length : 0;
};

/**
 * Reports whether a request has a body, by its head.
 *
 * @param incoming - request
 * @returns whether bytes of a body follow its head
 */
export const hasBody = (incoming: IncomingMessage): boolean =>
  incoming.headers['transfer-encoding'] !== undefined || readStatedLength(incoming) > 0;

/** Closes a connection whose body has been without new bytes for a while; its memory is released soon. */
export type CloseStalled = () => 'closed' | 'none';

/** Progress of a body. */
type BodyPhase =
  | 'receiving'
  /** Connections with stalled bodies are closed until there is room for the next bytes. */
  | 'waiting'
  | 'settled';

/**
 * Creates the reader of request bodies. The memory of a body is reserved before it is kept, and stays
 * reserved until its request has ended, since a retry sends it again. A body with a stated length is
 * refused before it is read if there is no room for it now. It is reserved as it arrives: a caller that
 * states a length and sends nothing must not take the room of others.
 *
 * @param account - memory for all bodies
 * @param initialMaxBodyBytes - size limit of one body at first
 * @param closeStalled - makes room for the bodies of others
 * @returns the reader
 */
export const createRequestBodies = (
  account: MemoryAccount,
  initialMaxBodyBytes: number,
  closeStalled: CloseStalled = () => 'none',
): RequestBodies => {
  let maxBodyBytes = initialMaxBodyBytes;

  const read = (incoming: IncomingMessage): Promise<BodyResult> =>
    new Promise((resolve) => {
      const memory = createBodyMemory(account);
      const body = createByteBlocks();
      /** Bytes that arrive while the body waits for room, which takes a few turns of the event loop. */
      const arrived: Buffer[] = [];
      let phase: BodyPhase = 'receiving';
      // The phase also changes in functions that are called meanwhile, which the compiler cannot know.
      const getPhase = (): BodyPhase => phase;
      const settle = (result: BodyResult): void => {
        if (phase === 'settled') return;
        phase = 'settled';
        incoming.off('data', receive);
        if (result.kind !== 'whole') {
          // The listeners keep the blocks for as long as the rest of the body arrives.
          takeParts(body);
          arrived.length = 0;
          memory.release();
        }
        resolve(result);
      };
      const finishWhole = (): void => {
        if (phase === 'receiving' && incoming.readableEnded)
          settle({ kind: 'whole', body: takeParts(body), release: memory.release });
      };
      const waitForRoom = (bytes: number): void => {
        phase = 'waiting';
        const checkRoom = (): void => {
          if (phase !== 'waiting') return;
          if (account.hasRoom(bytes)) {
            phase = 'receiving';
            appendArrived();
          } else if (closeStalled() === 'closed') {
            setImmediate(checkRoom);
          } else {
            // Reports that there is no room.
            account.reserve(bytes);
            settle({ kind: 'no-room' });
          }
        };
        checkRoom();
      };
      const appendArrived = (): void => {
        let [chunk] = arrived;
        while (chunk !== undefined && getPhase() === 'receiving') {
          const next = computeNextBlock(body, chunk.length);
          if (body.length + chunk.length > maxBodyBytes) {
            settle({ kind: 'too-large' });
          } else if (!account.hasRoom(next)) {
            waitForRoom(next);
          } else {
            memory.reserve(next);
            appendChunk(body, chunk);
            arrived.shift();
          }
          [chunk] = arrived;
        }
        finishWhole();
      };
      const receive = (chunk: Buffer): void => {
        arrived.push(chunk);
        appendArrived();
      };
      // `close` handles the end of the connection; an error without a listener would end the process.
      incoming.on('error', () => undefined);
      incoming.on('close', () => {
        if (!incoming.readableEnded) settle({ kind: 'broken' });
      });
      const statedLength = readStatedLength(incoming);
      if (statedLength > maxBodyBytes) {
        settle({ kind: 'too-large' });
        return;
      }
      incoming.on('data', receive);
      incoming.on('end', finishWhole);
      if (!account.hasRoom(statedLength)) waitForRoom(statedLength);
    });

  return {
    read,
    getMaxBodyBytes: () => maxBodyBytes,
    setMaxBodyBytes: (next) => {
      maxBodyBytes = next;
    },
  };
};
