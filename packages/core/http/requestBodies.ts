import type { IncomingMessage } from 'node:http';
import { appendChunk, computeNextBlock, createByteBlocks, takeParts } from '../bytes/byteBlocks.js';
import type { ByteBlocks } from '../bytes/byteBlocks.js';
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

/** Closes a connection whose body has been without progress for a while; its memory is released soon. */
export type CloseStalled = () => 'closed' | 'none';

/** Progress of a body. */
type BodyPhase =
  | 'receiving'
  /** Connections with stalled bodies are closed until there is room for the next bytes. */
  | 'waiting'
  | 'settled';

/** Limits of all bodies of a listener. */
interface BodyLimits {
  readonly account: MemoryAccount;
  readonly closeStalled: CloseStalled;
  maxBodyBytes: number;
}

/** A body that is being read. */
interface OpenBody {
  readonly incoming: IncomingMessage;
  readonly limits: BodyLimits;
  readonly memory: BodyMemory;
  readonly content: ByteBlocks;
  /** Bytes that arrive while the body waits for room, which takes a few turns of the event loop. */
  readonly arrived: Buffer[];
  readonly onSettled: (result: BodyResult) => void;
  phase: BodyPhase;
}

const settleBody = (body: OpenBody, result: BodyResult): void => {
  if (body.phase === 'settled') return;
  body.phase = 'settled';
  if (result.kind !== 'whole') {
    // The listeners keep the blocks for as long as the rest of the body arrives.
    takeParts(body.content);
    body.arrived.length = 0;
    body.memory.release();
  }
  body.onSettled(result);
};

const finishWhole = (body: OpenBody): void => {
  if (body.phase !== 'receiving' || !body.incoming.readableEnded) return;
  settleBody(body, { kind: 'whole', body: takeParts(body.content), release: body.memory.release });
};

const waitForRoom = (body: OpenBody, bytes: number): void => {
  const { account, closeStalled } = body.limits;
  body.phase = 'waiting';
  const checkRoom = (): void => {
    if (body.phase !== 'waiting') return;
    if (account.hasRoom(bytes)) {
      body.phase = 'receiving';
      appendArrived(body);
    } else if (closeStalled() === 'closed') {
      setImmediate(checkRoom);
    } else {
      // Reports that there is no room.
      account.reserve(bytes);
      settleBody(body, { kind: 'no-room' });
    }
  };
  checkRoom();
};

/** Keeps the next bytes that have arrived, or finds out that they can't be kept now. */
const appendNext = (body: OpenBody, chunk: Buffer): void => {
  const { content, limits, memory } = body;
  const next = computeNextBlock(content, chunk.length);
  if (content.length + chunk.length > limits.maxBodyBytes) {
    settleBody(body, { kind: 'too-large' });
  } else if (!limits.account.hasRoom(next)) {
    waitForRoom(body, next);
  } else {
    memory.reserve(next);
    appendChunk(content, chunk);
    body.arrived.shift();
  }
};

const appendArrived = (body: OpenBody): void => {
  let [chunk] = body.arrived;
  while (chunk !== undefined && body.phase === 'receiving') {
    appendNext(body, chunk);
    [chunk] = body.arrived;
  }
  finishWhole(body);
};

const startBody = (body: OpenBody): void => {
  const { incoming, limits } = body;
  // `close` handles the end of the connection; an error without a listener would end the process.
  incoming.on('error', () => undefined);
  incoming.on('close', () => {
    if (!incoming.readableEnded) settleBody(body, { kind: 'broken' });
  });
  const statedLength = readStatedLength(incoming);
  if (statedLength > limits.maxBodyBytes) {
    settleBody(body, { kind: 'too-large' });
    return;
  }
  incoming.on('data', (chunk: Buffer) => {
    if (body.phase === 'settled') return;
    body.arrived.push(chunk);
    appendArrived(body);
  });
  incoming.on('end', () => {
    finishWhole(body);
  });
  if (!limits.account.hasRoom(statedLength)) waitForRoom(body, statedLength);
};

/**
 * Creates the reader of request bodies. The memory of a body is reserved before it is kept, and stays
 * reserved until its request has ended, since a retry sends it again. A body with a stated length is
 * refused before it is read if there is no room for it now. It is reserved as it arrives: a caller that
 * states a length and sends nothing must not take the room of others.
 *
 * @param account - memory for all bodies
 * @param maxBodyBytes - size limit of one body at first
 * @param closeStalled - makes room for the bodies of others
 * @returns the reader
 */
export const createRequestBodies = (
  account: MemoryAccount,
  maxBodyBytes: number,
  closeStalled: CloseStalled = () => 'none',
): RequestBodies => {
  const limits: BodyLimits = { account, closeStalled, maxBodyBytes };
  return {
    read: (incoming) =>
      new Promise((resolve) => {
        startBody({
          incoming,
          limits,
          memory: createBodyMemory(account),
          content: createByteBlocks(),
          arrived: [],
          onSettled: resolve,
          phase: 'receiving',
        });
      }),
    getMaxBodyBytes: () => limits.maxBodyBytes,
    setMaxBodyBytes: (next) => {
      limits.maxBodyBytes = next;
    },
  };
};
