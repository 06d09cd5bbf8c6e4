import type { IncomingMessage } from 'node:http';

/** How the body of a request ended. */
export type BodyResult =
  | {
      readonly kind: 'whole';
      readonly body: Uint8Array;
      /** To be called once the request has ended; until then the body counts as buffered. */
      readonly release: () => void;
    }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'no-room' }
  | { readonly kind: 'broken' };

/** Reads the bodies of requests, within a limit of all that are buffered. */
export interface RequestBodies {
  readonly read: (incoming: IncomingMessage) => Promise<BodyResult>;
  /** Sets the size limit of one body. */
  readonly setMaxBodyBytes: (maxBodyBytes: number) => void;
}

/** Bytes of one body while it is received. */
interface BodyCollector {
  readonly add: (chunk: Uint8Array) => void;
  readonly join: () => Uint8Array;
}

const createChunkCollector = (): BodyCollector => {
  const chunks: Uint8Array[] = [];
  return {
    add: (chunk) => {
      chunks.push(chunk);
    },
    join: () => (chunks.length === 1 ? (chunks[0] as Uint8Array) : Buffer.concat(chunks)),
  };
};

/** Copies the chunks into place, so that a large body is never in memory twice. */
const createSizedCollector = (length: number): BodyCollector => {
  let body: Buffer | null = null;
  let size = 0;
  return {
    add: (chunk) => {
      body ??= Buffer.allocUnsafeSlow(length);
      body.set(chunk, size);
      size += chunk.length;
    },
    join: () => body ?? new Uint8Array(),
  };
};

const createCollector = ({ headers }: IncomingMessage, maxBodyBytes: number): BodyCollector => {
  const length = Number(headers['content-length'] ?? NaN);
  const isSized = Number.isSafeInteger(length) && length > 0 && length <= maxBodyBytes;
  return isSized ? createSizedCollector(length) : createChunkCollector();
};

/**
 * Creates the reader of request bodies. A body counts as buffered from its first byte until its request
 * has ended, since a retry sends it again.
 *
 * @param maxBufferedBytes - limit of the bytes of all buffered bodies; requests beyond it are refused
 * @param initialMaxBodyBytes - size limit of one body at first
 * @returns the reader
 */
export const createRequestBodies = (
  maxBufferedBytes: number,
  initialMaxBodyBytes: number,
): RequestBodies => {
  let maxBodyBytes = initialMaxBodyBytes;
  let bufferedBytes = 0;

  const read = (incoming: IncomingMessage): Promise<BodyResult> =>
    new Promise((resolve) => {
      const collector = createCollector(incoming, maxBodyBytes);
      let size = 0;
      let phase: 'receiving' | 'settled' = 'receiving';
      const release = (): void => {
        bufferedBytes -= size;
        size = 0;
      };
      const settle = (result: BodyResult): void => {
        if (phase === 'settled') return;
        phase = 'settled';
        incoming.removeAllListeners('data');
        if (result.kind !== 'whole') release();
        resolve(result);
      };
      incoming.on('data', (chunk: Buffer) => {
        size += chunk.length;
        bufferedBytes += chunk.length;
        if (size > maxBodyBytes) settle({ kind: 'too-large' });
        else if (bufferedBytes > maxBufferedBytes) settle({ kind: 'no-room' });
        else collector.add(chunk);
      });
      incoming.on('end', () => {
        settle({ kind: 'whole', body: collector.join(), release });
      });
      incoming.on('close', () => {
        settle({ kind: 'broken' });
      });
      // `close` handles the end of the connection; an error without a listener would end the process.
      incoming.on('error', () => undefined);
    });

  return {
    read,
    setMaxBodyBytes: (next) => {
      maxBodyBytes = next;
    },
  };
};
