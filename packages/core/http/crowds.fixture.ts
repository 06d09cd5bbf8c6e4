import { readdirSync } from 'node:fs';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { ExecutionContext } from 'ava';

/** Address of a listener. */
export interface CrowdTarget {
  readonly host: string;
  readonly port: number;
}

/** Connections that write the same bytes at once, read nothing and stay open. */
export interface Crowd {
  readonly connections: number;
  readonly bytes: Buffer;
}

/** Connections that are opened at a time: the queue of new connections of a listener is finite. */
const OPENED_AT_A_TIME = 50;
const OPEN_PAUSE_MS = 5;

/**
 * Formats the head of a request.
 *
 * @param requestLine - method, target and version
 * @param lines - header lines
 * @returns the head, with the empty line that ends it
 */
export const formatHead = (requestLine: string, lines: readonly string[] = []): string =>
  [requestLine, ...lines, '', ''].join('\r\n');

/** Formats chunks of one size, without the last one that ends a body. */
const formatChunks = (chunkBytes: number, chunks: number): string =>
  `${chunkBytes.toString(16)}\r\n${'a'.repeat(chunkBytes)}\r\n`.repeat(chunks);

/**
 * Formats a body in chunks up to its last chunk, without the empty line that ends it.
 *
 * @param chunkBytes - bytes of each chunk
 * @param chunks - number of chunks
 * @returns the text
 */
export const formatOpenChunks = (chunkBytes: number, chunks: number): string =>
  `${formatChunks(chunkBytes, chunks)}0\r\n`;

/**
 * Formats a body in chunks that stops before the last byte of a chunk.
 *
 * @param chunkBytes - bytes of each chunk
 * @param chunks - number of chunks
 * @returns the text
 */
export const formatCutChunks = (chunkBytes: number, chunks: number): string =>
  formatChunks(chunkBytes, chunks).slice(0, -3);

/**
 * Opens a crowd.
 *
 * @param t - test that closes the connections at its end
 * @param target - listener
 * @param crowd - number of connections, and what each of them writes
 * @returns the connections
 */
export const openCrowd = async (
  t: ExecutionContext,
  target: CrowdTarget,
  { bytes, connections }: Crowd,
): Promise<readonly Socket[]> => {
  const sockets: Socket[] = [];
  t.teardown(() => {
    closeCrowd(sockets);
  });
  while (sockets.length < connections) {
    const socket = connect(target);
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.pause();
    // All connections share the buffer: the process of the test stays small.
    socket.write(bytes);
    if (sockets.length % OPENED_AT_A_TIME === 0) await sleep(OPEN_PAUSE_MS);
  }
  return sockets;
};

/**
 * Closes the connections of a crowd.
 *
 * @param sockets - open or closed connections
 */
export const closeCrowd = (sockets: readonly Socket[]): void => {
  for (const socket of sockets) socket.destroy();
};

/**
 * Sends one request on a connection of its own. It is sent once: a test that asked until it got an answer
 * could not fail.
 *
 * @param target - listener
 * @param text - request
 * @param deadlineMs - time for which its caller waits, also for the connection
 * @returns the status of the answer; 0 without one
 */
export const sendOnce = (target: CrowdTarget, text: string, deadlineMs: number): Promise<number> =>
  new Promise((resolve) => {
    let received = '';
    const socket = connect(target, () => {
      socket.write(text);
    });
    const settle = (): void => {
      clearTimeout(timer);
      const [, status = '0'] = /^HTTP\/1\.1 (\d{3}) /u.exec(received) ?? [];
      socket.destroy();
      resolve(Number(status));
    };
    const timer = setTimeout(settle, deadlineMs);
    socket.on('error', () => undefined);
    socket.on('close', settle);
    socket.on('data', (bytes: Buffer) => {
      received += bytes.toString('latin1');
      if (received.includes('\r\n\r\n')) settle();
    });
  });

/**
 * Counts the open descriptors of a process.
 *
 * @param processId - running process
 * @returns the number of files, sockets and pipes
 */
export const countDescriptors = (processId: number): number =>
  readdirSync(`/proc/${processId.toString()}/fd`).length;
