import { request as openRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { limitOverhead } from '../../core/http/answerLimits.js';
import { isAnswerStatus } from '../../core/http/answerStatus.js';
import { reportResets } from '../../core/http/connectionResets.js';
import { joinAnswerChunks } from '../../core/http/pacing/answerChunks.js';
import type { Clock, Millis } from '../../core/clock.js';
import { createReadTurns } from '../../core/loop/readTurns.js';
import { runAfterReads } from '../../core/loop/runAfterReads.js';
import { CONNECT_TIMEOUT_MS } from '../../decisions/forwarding/constants.js';
import type { EndpointAddress } from '../../decisions/forwarding/types.js';
import type { AttemptOrder } from '../effects.js';
import type { AttemptFailure, ProbeResult, RequestsEvent, AttemptEvent } from '../events.js';
import { hasValidNames } from '../headSyntax.js';
import type { HeadCodec } from '../types.js';

/** Sends attempts to endpoints, each on its own connection. */
export interface EndpointClient {
  /** Connects to the endpoint of an attempt; nothing is sent before `send`. */
  readonly open: (order: AttemptOrder) => void;
  /** Sends the request of a connected attempt, with the time left until its deadline. */
  readonly send: (key: number, attempt: number, leftMs: Millis) => void;
  /** Closes the connection of an attempt, which cancels the request at the endpoint. */
  readonly cancel: (key: number, attempt: number) => void;
  /** Opens a connection to an endpoint and closes it at once. */
  readonly probe: (address: EndpointAddress) => Promise<ProbeResult>;
  readonly close: () => void;
}

export interface EndpointClientOptions {
  /** Encodes the heads of requests and decodes the heads of answers. */
  readonly codec: HeadCodec;
  /** Clock of the times at which requests are sent. */
  readonly clock: Clock;
  /** Whether the daemon was busy or paused just now, so that callers may have left meanwhile. */
  readonly isLate: () => boolean;
  /** Receives the events of the attempts, and what the endpoints say of themselves. */
  readonly post: (event: AttemptEvent) => void;
  /** Receives the number of bytes that were read. */
  readonly recordReceived: (bytes: number) => void;
}

interface RunningAttempt {
  readonly socket: Socket;
  readonly send: (leftMs: Millis) => void;
}

const toAttemptId = (key: number, attempt: number): string =>
  `${key.toString()}/${attempt.toString()}`;

/** Bytes of all answers that are read in one turn of the event loop. */
const MAX_TURN_BYTES = 256 * 1024;

/** Status of the first final answer; lower ones announce another answer. */
const MIN_FINAL_STATUS = 200;

/**
 * Finds the reason why the head of an answer cannot be sent on, or null. The parser of node:http
 * accepts any three digits as a status, and header names that its server throws for.
 */
const findHeadFault = ({ rawHeaders, statusCode = 0 }: IncomingMessage): string | null => {
  if (statusCode < MIN_FINAL_STATUS || !isAnswerStatus(statusCode))
    return `the answer has status ${statusCode.toString()}`;
  return hasValidNames(rawHeaders) ? null : 'the answer has a header with an invalid name';
};

const isParseError = (error: Error): boolean =>
  'code' in error && typeof error.code === 'string' && error.code.startsWith('HPE_');

/** Sends the parts of a body together with the head, without joining them. */
const sendBody = (outgoing: ClientRequest, body: readonly Uint8Array[]): void => {
  const last = body.at(-1);
  for (const part of body.slice(0, -1)) outgoing.write(part);
  outgoing.end(last);
};

const probeAddress = ({ host, port }: EndpointAddress): Promise<ProbeResult> =>
  new Promise((resolve) => {
    const socket = connect({ host, port });
    const finish = (result: ProbeResult): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(result);
    };
    // A timer that is late for lack of processor time may come before a connection is noticed.
    const timer = setTimeout(() => {
      runAfterReads(() => {
        finish('silent');
      });
    }, CONNECT_TIMEOUT_MS);
    socket.once('connect', () => {
      finish('reachable');
    });
    socket.once('error', (error) => {
      finish('code' in error && error.code === 'ECONNREFUSED' ? 'refused' : 'silent');
    });
  });

/**
 * Creates the client of the endpoints. Connections are not reused, so that a late or duplicate
 * answer is never mistaken for the answer to the next request.
 *
 * @param options - codec, clock and receivers of the events
 * @returns the client
 */
export const createEndpointClient = (options: EndpointClientOptions): EndpointClient => {
  const { clock, codec, isLate, post, recordReceived } = options;
  const running = new Map<string, RunningAttempt>();
  const turns = createReadTurns(MAX_TURN_BYTES);
  const probes = new Map<string, Promise<ProbeResult>>();

  /** Counts the framing, too, of which a body may be a small part. */
  const recordBody = (answer: IncomingMessage, bytes: number): void => {
    recordReceived(bytes);
    turns.record(answer, bytes);
  };

  const open = (order: AttemptOrder): void => {
    const { address, attempt, key, request, service, startedAt } = order;
    const attemptId = toAttemptId(key, attempt);
    const eventBase = { to: 'requests', key, attempt } as const;
    let phase: 'connecting' | 'connected' | 'sent' | 'ended' = 'connecting';
    let sentAt: Millis = 0;
    let answer: IncomingMessage | null = null;
    let bodyBytes = 0;
    const socket = connect({ host: address.host, port: address.port, noDelay: true });

    const finish = (event: RequestsEvent): void => {
      if (phase === 'ended') return;
      phase = 'ended';
      clearTimeout(connectTimer);
      if (running.get(attemptId)?.socket === socket) running.delete(attemptId);
      post(event);
    };

    const fail = (error: Error): void => {
      // The answer is complete, and its `end` event follows once the buffered data has been read.
      if (answer?.complete === true) return;
      const isUnsent = phase === 'connecting' || phase === 'connected';
      const kind: AttemptFailure['kind'] = isUnsent
        ? 'unreachable'
        : isParseError(error)
          ? 'garbled'
          : 'broken';
      finish({ ...eventBase, kind: 'attempt-failed', failure: { kind, message: error.message } });
    };

    const endGarbled = (message: string): void => {
      finish({ ...eventBase, kind: 'attempt-failed', failure: { kind: 'garbled', message } });
      socket.destroy();
    };

    const endEarlyAnswer = (): void => {
      endGarbled('the answer came before the request');
    };

    /** The answer may be unusable or come too late, and what it says of its endpoint holds all the same. */
    const postStatements = ({ rawHeaders, statusCode = 0 }: IncomingMessage): void => {
      if (!isAnswerStatus(statusCode)) return;
      const statements = codec.decodeStatements(statusCode, rawHeaders);
      if (statements === null) return;
      const endpoint = { id: order.head.endpointId, address, service, startedAt };
      const answered = { endpoint, request: { id: request.id, sentAt }, statements };
      post({ to: 'statements', kind: 'endpoint-answered', ...answered });
    };

    const receive = (incoming: IncomingMessage): void => {
      answer = incoming;
      // The event comes before those of the answer, so that what follows from them is decided with it.
      postStatements(incoming);
      const fault = findHeadFault(incoming);
      if (fault !== null) {
        endGarbled(fault);
        return;
      }
      const head = codec.decodeAnswer(incoming.statusCode ?? 0, incoming.rawHeaders);
      if (phase === 'ended') return;
      post({ ...eventBase, kind: 'answer-started', head });
      incoming.on('data', (bytes: Buffer) => {
        bodyBytes += bytes.length;
        if (phase !== 'ended') post({ ...eventBase, kind: 'answer-continued', bytes });
      });
      incoming.on('end', () => {
        finish({ ...eventBase, kind: 'answer-ended' });
      });
      incoming.on('error', fail);
      incoming.on('close', () => {
        if (!incoming.complete)
          fail(new Error('the connection closed before the answer was complete'));
      });
    };

    const send = (leftMs: Millis): void => {
      if (phase !== 'connected') return;
      phase = 'sent';
      sentAt = clock.now();
      socket.off('data', endEarlyAnswer);
      const outgoing = openRequest({
        method: request.method,
        path: request.path,
        headers: codec.encodeAttempt(request, order.head, leftMs),
        createConnection: () => socket,
        setHost: false,
      });
      outgoing.on('error', fail);
      // From then on errors of the connection are those of the request.
      outgoing.once('socket', () => {
        socket.off('error', fail);
      });
      joinAnswerChunks(outgoing, recordBody);
      limitOverhead(outgoing, () => bodyBytes, endGarbled);
      outgoing.on('response', receive);
      outgoing.on('close', () => {
        if (answer === null) fail(new Error('the connection closed without an answer'));
      });
      sendBody(outgoing, request.body);
    };

    running.set(attemptId, { socket, send });
    const connectTimer = setTimeout(() => {
      runAfterReads(() => {
        if (phase !== 'connecting') return;
        socket.destroy(new Error('the connection was not established in time'));
      });
    }, CONNECT_TIMEOUT_MS);
    reportResets(socket);
    socket.once('connect', () => {
      clearTimeout(connectTimer);
      if (phase !== 'connecting') return;
      phase = 'connected';
      socket.on('data', endEarlyAnswer);
      const postConnected = (): void => {
        if (phase === 'connected') post({ ...eventBase, kind: 'attempt-connected' });
      };
      // The end of the caller's connection may be read after this one is reported.
      if (isLate()) runAfterReads(postConnected);
      else postConnected();
    });
    socket.on('error', fail);
    socket.on('close', () => {
      if (phase !== 'sent') fail(new Error('the connection closed without an answer'));
    });
  };

  return {
    open,
    send: (key, attempt, leftMs) => {
      running.get(toAttemptId(key, attempt))?.send(leftMs);
    },
    cancel: (key, attempt) => {
      const attemptId = toAttemptId(key, attempt);
      const attemptRun = running.get(attemptId);
      running.delete(attemptId);
      attemptRun?.socket.destroy();
    },
    probe: ({ host, port }) => {
      const name = `${host}:${port.toString()}`;
      // All connections to a crashed endpoint break at once, and one probe answers for all of them.
      const probing = probes.get(name);
      if (probing !== undefined) return probing;
      const probe = probeAddress({ host, port }).finally(() => probes.delete(name));
      probes.set(name, probe);
      return probe;
    },
    close: () => {
      for (const { socket } of running.values()) socket.destroy();
      running.clear();
    },
  };
};
