import type { ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import { createAnswerQueues } from './answerQueues.js';
import type { ConnectionTracker } from './connections.js';
import { MAX_CALLER_BACKLOG_BYTES } from './constants.js';
import type { ConnectionEndCause } from './types.js';
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
  /** Whether an earlier answer states that it is the last one on the connection of this one. */
  readonly isBehindLast: (key: number) => boolean;
  /** Counts the answers that have not been ended, those to requests that are being read included. */
  readonly count: () => number;
  /** Removes the answer of a caller that disconnected. */
  readonly remove: (key: number) => void;
  readonly startAnswer: (key: number, head: AnswerHead) => void;
  /** Writes bytes; returns `too-slow` when more than `MAX_CALLER_BACKLOG_BYTES` are unread. */
  readonly writeAnswer: (key: number, bytes: Uint8Array) => 'written' | 'too-slow';
  readonly endAnswer: (key: number) => void;
  readonly sendWhole: (key: number, head: AnswerHead, body: Uint8Array) => void;
  readonly refuse: (key: number, failure: Failure) => void;
  /** Closes the connection without completing the answer; the cause is logged. */
  readonly breakAnswer: (key: number, cause: ConnectionEndCause) => void;
  /** Closes a connection once all requests that have been read whole on it have their answers. */
  readonly closeAfterAnswers: (socket: Duplex, close: () => void) => void;
  /** Refuses all requests after the loss of their state. */
  readonly refuseAll: (failure: Failure) => void;
  /** Breaks the answers that would look complete when their connections are closed. */
  readonly breakUnframed: () => void;
  /** Makes every later answer the last one on its connection. */
  readonly startDrain: () => void;
  readonly reportUnreadable: (error: Error) => void;
}

/**
 * Delimits an answer by the close of its connection, as the endpoint did. Whether such an answer is
 * complete is unknown, and chunked framing or a length would state that it is.
 */
const clearFraming = (response: ServerResponse): void => {
  response.shouldKeepAlive = false;
  response.removeHeader('Transfer-Encoding');
};

/**
 * Closes the connection of an answer that has begun and is not complete. An answer that ends with
 * its connection, as all streams to callers of HTTP/1.0 do, looks complete unless the connection is
 * reset.
 */
const closeUnfinished = (response: ServerResponse): void => {
  if (response.headersSent && !response.chunkedEncoding) response.socket?.resetAndDestroy();
  response.destroy();
};

interface OpenAnswer {
  readonly requestId: string;
  readonly response: ServerResponse;
}

/**
 * Creates the table of open answers.
 *
 * @param connections - records the writes, and why connections are closed
 * @param onUnreadable - receives errors of connections whose bytes are not a valid request
 * @returns the empty table
 */
export const createResponders = (
  connections: Pick<ConnectionTracker, 'recordCause' | 'recordWrite'>,
  onUnreadable: (error: Error) => void,
): Responders => {
  const open = new Map<number, OpenAnswer>();
  const queues = createAnswerQueues();
  /** Answers that end with their connections, and of which not all bytes were sent. */
  const unframed = new Set<ServerResponse>();
  let phase: 'serving' | 'draining' = 'serving';

  const trackUnframed = (response: ServerResponse): void => {
    unframed.add(response);
    const remove = (): void => {
      unframed.delete(response);
    };
    response.once('finish', remove);
    response.once('close', remove);
  };

  const removeAnswer = (key: number): OpenAnswer | undefined => {
    const answer = open.get(key);
    open.delete(key);
    return answer;
  };

  /**
   * Adds that the answer is the last one on its connection if the daemon is draining. An answer is not
   * the last one while a further request has been read, since that would get no answer.
   */
  const buildHeaders = (response: ServerResponse, headers: readonly string[]): string[] => {
    if (phase === 'serving' || queues.hasFurther(response)) return [...headers];
    queues.recordLast(response);
    return [...headers, 'Connection', 'close'];
  };

  const sendWhole = (key: number, head: AnswerHead, body: Uint8Array): void => {
    const response = open.get(key)?.response;
    if (response === undefined) return;
    connections.recordWrite(key);
    const hasBody = head.status !== NO_CONTENT && head.status !== NOT_MODIFIED;
    const isFramed = hasBody && head.framing === 'framed';
    const length = isFramed ? ['Content-Length', body.length.toString()] : [];
    response.sendDate = false;
    if (hasBody && !isFramed) {
      clearFraming(response);
      trackUnframed(response);
    }
    response.writeHead(head.status, buildHeaders(response, [...head.headers, ...length]));
    response.end(hasBody ? body : undefined);
    // An answer that could not be sent stays open, so that it can be broken off.
    open.delete(key);
  };

  const refuseWith = (key: number, failure: Failure, cause: ConnectionEndCause): void => {
    const answer = open.get(key);
    if (answer === undefined) return;
    const { response, requestId } = answer;
    if (response.headersSent) {
      open.delete(key);
      connections.recordCause(key, cause);
      closeUnfinished(response);
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
    const answer = removeAnswer(key);
    if (answer === undefined) return;
    connections.recordCause(key, cause);
    closeUnfinished(answer.response);
  };

  return {
    open: (key, requestId, response) => {
      queues.add(response);
      open.set(key, { requestId, response });
    },
    has: (key) => open.has(key),
    isBehindLast: (key) => {
      const answer = open.get(key);
      return answer !== undefined && queues.isBehindLast(answer.response);
    },
    count: () => open.size,
    remove: (key) => {
      open.delete(key);
    },
    startAnswer: (key, head) => {
      const response = open.get(key)?.response;
      if (response === undefined) return;
      connections.recordWrite(key);
      response.sendDate = false;
      if (head.framing === 'until-close') clearFraming(response);
      response.writeHead(head.status, buildHeaders(response, head.headers));
      if (!response.chunkedEncoding) trackUnframed(response);
    },
    writeAnswer: (key, bytes) => {
      const response = open.get(key)?.response;
      if (response === undefined) return 'written';
      connections.recordWrite(key);
      response.write(bytes);
      return response.writableLength > MAX_CALLER_BACKLOG_BYTES ? 'too-slow' : 'written';
    },
    endAnswer: (key) => {
      removeAnswer(key)?.response.end();
    },
    sendWhole,
    refuse: (key, failure) => {
      refuseWith(key, failure, 'answer-broken');
    },
    breakAnswer,
    closeAfterAnswers: queues.closeAfterAnswers,
    refuseAll: (failure) => {
      for (const key of [...open.keys()]) refuseWith(key, failure, 'state-lost');
    },
    breakUnframed: () => {
      for (const response of [...unframed]) closeUnfinished(response);
    },
    startDrain: () => {
      phase = 'draining';
    },
    reportUnreadable: onUnreadable,
  };
};
