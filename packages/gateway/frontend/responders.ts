import type { ServerResponse } from 'node:http';
import type { ConnectionTracker } from './connections.js';
import { MAX_CALLER_BACKLOG_BYTES } from './constants.js';
import { countHeldBytes } from '../../core/http/pacing/pacedStream.js';
import type { ConnectionEndCause } from './types.js';
import { createUnreadAnswers } from './unreadAnswers.js';
import { appendChunk, createByteBlocks, listParts } from '../../core/bytes/byteBlocks.js';
import type { ByteBlocks } from '../../core/bytes/byteBlocks.js';
import { sumLengths } from '../../core/bytes/sumLengths.js';
import type { MemoryAccount } from '../../core/memory/types.js';
import type { Failure } from '../../core/verdict.js';
import { toProblem } from '../../wire/problem.js';
import type { AnswerHead } from '../types.js';

const MILLIS_PER_SECOND = 1_000;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** Open answers to callers, by the `key` of the request. */
export interface Responders {
  readonly open: (key: number, requestId: string, response: ServerResponse) => void;
  readonly has: (key: number) => boolean;
  /** Counts the answers that have not been ended, those to requests that are being read included. */
  readonly count: () => number;
  /** Removes the answer of a caller that disconnected. */
  readonly remove: (key: number) => void;
  readonly startAnswer: (key: number, head: AnswerHead) => void;
  /** Writes bytes; returns the answers whose callers are too slow, this one or others. */
  readonly writeAnswer: (key: number, bytes: Uint8Array) => readonly number[];
  /** Ends an answer; returns the answers whose callers are too slow. */
  readonly endAnswer: (key: number) => readonly number[];
  /** Sends a whole answer; returns the answers whose callers are too slow. */
  readonly sendWhole: (
    key: number,
    head: AnswerHead,
    body: readonly Uint8Array[],
  ) => readonly number[];
  readonly refuse: (key: number, failure: Failure) => void;
  /** Closes the connection without completing the answer; the cause is logged. */
  readonly breakAnswer: (key: number, cause: ConnectionEndCause) => void;
  /**
   * Refuses all requests that have been read whole, after the loss of their state. The others have not been
   * passed on to the decisions yet.
   */
  readonly refuseAll: (failure: Failure) => void;
  /** Makes every later answer the last one on its connection. */
  readonly startDrain: () => void;
  readonly reportUnreadable: (error: Error) => void;
}

/** Answer to a caller of HTTP/1.0, which can only be sent with a length. */
interface HeldAnswer {
  readonly head: AnswerHead;
  readonly body: ByteBlocks;
}

interface OpenAnswer {
  readonly requestId: string;
  readonly response: ServerResponse;
}

const sendParts = (response: ServerResponse, parts: readonly Uint8Array[]): void => {
  for (const part of parts.slice(0, -1)) response.write(part);
  response.end(parts.at(-1));
};

/**
 * Creates the table of open answers. Each answer with a body has a length or chunks, also when that of
 * its endpoint ends with its connection: whoever ends the connection to the caller early, as the
 * operating system does for a killed process, cannot make it look complete. Callers of HTTP/1.0 do not
 * know chunks, so a stream to them is held until it is complete.
 *
 * @param connections - records the writes, and why connections are closed
 * @param onUnreadable - receives errors of connections whose bytes are not a valid request
 * @param memory - memory for answers that callers have not read
 * @returns the empty table
 */
export const createResponders = (
  connections: Pick<ConnectionTracker, 'recordCause' | 'recordWrite'>,
  onUnreadable: (error: Error) => void,
  memory: MemoryAccount,
): Responders => {
  const open = new Map<number, OpenAnswer>();
  /** All answers whose connections are open, those that have been ended included. */
  const sending = new Map<number, ServerResponse>();
  const unread = createUnreadAnswers(memory);
  /** Started answers that are sent once they are complete. */
  const held = new Map<number, HeldAnswer>();
  let phase: 'serving' | 'draining' = 'serving';

  const removeAnswer = (key: number): OpenAnswer | undefined => {
    const answer = open.get(key);
    open.delete(key);
    held.delete(key);
    return answer;
  };

  /**
   * Adds that the answer is the last one on its connection if the daemon is draining. An answer is not
   * the last one while bytes of a further request have been read, since that would get no answer.
   */
  const buildHeaders = (response: ServerResponse, headers: readonly string[]): string[] => {
    if (phase === 'serving' || countHeldBytes(response.req.socket) > 0) return [...headers];
    // To close a connection with unread bytes resets it, and the caller may lose the answer.
    if (!response.req.complete) return [...headers];
    return [...headers, 'Connection', 'close'];
  };

  const track = (key: number, response: ServerResponse): void => {
    sending.set(key, response);
    unread.add(key, () => response.writableLength + (held.get(key)?.body.allocatedBytes ?? 0));
    response.once('close', () => {
      sending.delete(key);
      unread.remove(key);
    });
  };

  /** Lists the callers to end after a write: those without room, and one above its own limit. */
  const listTooSlow = (key: number): readonly number[] => {
    const ended = unread.update(key);
    const bytes = sending.get(key)?.writableLength ?? 0;
    const heldBytes = held.get(key)?.body.length ?? 0;
    const isTooSlow = Math.max(bytes, heldBytes) > MAX_CALLER_BACKLOG_BYTES;
    return isTooSlow && !ended.includes(key) ? [...ended, key] : ended;
  };

  const sendWhole = (
    key: number,
    head: AnswerHead,
    body: readonly Uint8Array[],
  ): readonly number[] => {
    const response = open.get(key)?.response;
    if (response === undefined) return [];
    connections.recordWrite(key);
    const hasBody = head.status !== NO_CONTENT && head.status !== NOT_MODIFIED;
    const length = hasBody ? ['Content-Length', sumLengths(body).toString()] : [];
    response.sendDate = false;
    response.writeHead(head.status, buildHeaders(response, [...head.headers, ...length]));
    sendParts(response, hasBody ? body : []);
    // An answer that could not be sent stays open, so that it can be broken off.
    open.delete(key);
    return unread.update(key);
  };

  const refuseWith = (key: number, failure: Failure, cause: ConnectionEndCause): void => {
    const answer = open.get(key);
    if (answer === undefined) return;
    held.delete(key);
    const { response, requestId } = answer;
    if (response.headersSent) {
      open.delete(key);
      connections.recordCause(key, cause);
      response.destroy();
      return;
    }
    connections.recordWrite(key);
    const problem = toProblem(failure, requestId);
    const body = Buffer.from(JSON.stringify(problem));
    const retryAfter =
      failure.retryAfterMs === undefined
        ? []
        : ['Retry-After', (failure.retryAfterMs / MILLIS_PER_SECOND).toFixed(3)];
    response.sendDate = false;
    response.writeHead(
      problem.status,
      buildHeaders(response, [
        'Content-Type',
        'application/problem+json',
        'Content-Length',
        body.length.toString(),
        ...retryAfter,
      ]),
    );
    response.end(body);
    open.delete(key);
  };

  const breakAnswer = (key: number, cause: ConnectionEndCause): void => {
    const response = removeAnswer(key)?.response ?? sending.get(key);
    if (response === undefined) return;
    connections.recordCause(key, cause);
    response.destroy();
  };

  return {
    open: (key, requestId, response) => {
      open.set(key, { requestId, response });
      track(key, response);
    },
    has: (key) => open.has(key),
    count: () => open.size,
    remove: (key) => {
      removeAnswer(key);
    },
    startAnswer: (key, head) => {
      const response = open.get(key)?.response;
      if (response === undefined) return;
      if (!response.useChunkedEncodingByDefault) {
        held.set(key, { head, body: createByteBlocks() });
        return;
      }
      connections.recordWrite(key);
      response.sendDate = false;
      response.writeHead(head.status, buildHeaders(response, head.headers));
    },
    writeAnswer: (key, bytes) => {
      const response = open.get(key)?.response;
      if (response === undefined) return [];
      const answer = held.get(key);
      if (answer === undefined) {
        connections.recordWrite(key);
        response.write(bytes);
      } else {
        appendChunk(answer.body, bytes);
      }
      return listTooSlow(key);
    },
    endAnswer: (key) => {
      const answer = held.get(key);
      held.delete(key);
      if (answer !== undefined) return sendWhole(key, answer.head, listParts(answer.body));
      removeAnswer(key)?.response.end();
      return unread.update(key);
    },
    sendWhole,
    refuse: (key, failure) => {
      refuseWith(key, failure, 'answer-broken');
    },
    breakAnswer,
    refuseAll: (failure) => {
      for (const [key, { response }] of [...open]) {
        if (response.req.complete) refuseWith(key, failure, 'state-lost');
      }
    },
    startDrain: () => {
      phase = 'draining';
    },
    reportUnreadable: onUnreadable,
  };
};
