import type { IncomingMessage, ServerResponse } from 'node:http';
import { IDLE_MARGIN_MS, LATE_CLOSE_MS, MAX_LISTED_REQUESTS } from './constants.js';
import type { GateState } from './gate.js';
import type { PacedStream } from '../../core/http/pacing/pacedStream.js';
import type { ConnectionEndCause, IdlePhase, RequestPhase } from './types.js';
import type { Clock, Millis } from '../../core/clock.js';
import type { EventName } from '../../core/events/catalogue.js';
import type { EventDetails } from '../../core/events/types.js';

export interface ConnectionTrackerOptions {
  readonly clock: Clock;
  /** Returns the version of the configuration in force; 0 without one. */
  readonly getConfigurationVersion: () => number;
  readonly getGate: () => GateState;
  readonly record: (name: EventName, details: EventDetails) => void;
  readonly addCount: (name: string, labels: Readonly<Record<string, string>>) => void;
}

/**
 * Records how the connections of callers end. It only observes: no function of it closes a
 * connection or writes to one.
 */
export interface ConnectionTracker {
  readonly trackConnection: (socket: PacedStream) => void;
  readonly trackRequest: (
    key: number,
    requestId: string,
    incoming: IncomingMessage,
    response: ServerResponse,
  ) => void;
  readonly recordAttempt: (key: number) => void;
  /** Records that bytes of the answer are written. */
  readonly recordWrite: (key: number) => void;
  /** Records why the connection of a request is about to be closed; the first cause is kept. */
  readonly recordCause: (key: number, cause: ConnectionEndCause) => void;
  /** Records why a connection is about to be closed; the first cause is kept. */
  readonly recordSocketCause: (socket: object, cause: ConnectionEndCause) => void;
  /** Records that a connection is about to be closed because it is idle. */
  readonly recordIdleClose: (socket: PacedStream) => void;
  /** Records the cause of all connections that have just been closed without one. */
  readonly recordClosed: (cause: ConnectionEndCause) => void;
  /** Records that a configuration came into force, with the idle timeout that it sets. */
  readonly recordConfiguration: (idleTimeoutMs: Millis) => void;
  /** Counts the connections with bytes that the operating system has not accepted yet. */
  readonly countUnsent: () => number;
  /** Reports the requests that the end of the process leaves unanswered. */
  readonly reportLeft: () => void;
}

interface TrackedConnection {
  readonly socket: PacedStream;
  readonly openedAt: Millis;
  readonly open: Set<TrackedRequest>;
  /** Number of requests whose head has been read. */
  requests: number;
  /** Bytes of the connection when the newest request had been read completely. */
  bytesRead: number;
  /** Bytes of the connection when the newest answer had been sent completely. */
  bytesWritten: number;
  /** Instant since which it waits for the next request, if it has no open ones. */
  idleAt: Millis;
  /** Time that the `Keep-Alive` header of the newest answer states; the server sets it at the head. */
  keepAliveMs: Millis;
  idlePhase: IdlePhase;
  cause: ConnectionEndCause | null;
  report: 'due' | 'done';
}

interface TrackedRequest {
  readonly key: number;
  readonly id: string;
  readonly connection: TrackedConnection;
  readonly response: ServerResponse;
  readonly headAt: Millis;
  readonly earlierRequests: number;
  readonly configurationVersion: number;
  body: 'partial' | 'whole';
  lastReadAt: Millis;
  lastWriteAt: Millis | null;
  attempts: number;
}

const COUNTER = 'gateway_caller_connection_ends_total';

const NONE = -1;

const findPhase = ({ body, response }: TrackedRequest): RequestPhase => {
  if (response.writableEnded) return 'flushing';
  if (response.headersSent) return 'answering';
  return body === 'whole' ? 'awaiting-answer' : 'reading-body';
};

/** Counts the bytes that have been handed to the HTTP server. */
const countHandedOn = ({ socket }: TrackedConnection): number =>
  socket.bytesRead - socket.heldBytes;

const hasPartialHead = ({ bytesRead, open, socket }: TrackedConnection): boolean =>
  open.size === 0 && socket.bytesRead > bytesRead;

const countBytesWritten = ({ connection }: TrackedRequest): number =>
  connection.socket.bytesWritten - connection.bytesWritten;

/**
 * Creates the tracker of the callers' connections.
 *
 * @param options - clock, state of the daemon and receivers of the records
 * @returns a tracker without connections
 */
export const createConnectionTracker = (options: ConnectionTrackerOptions): ConnectionTracker => {
  const { clock, getConfigurationVersion, getGate } = options;
  const connections = new Map<object, TrackedConnection>();
  const requests = new Map<number, TrackedRequest>();
  let configuredAt: Millis | null = null;
  let idleMs: Millis = 0;

  const computeAge = (at: Millis | null): Millis =>
    at === null ? NONE : Math.round(clock.now() - at);

  const classifyIdle = ({ idleAt, keepAliveMs }: TrackedConnection): IdlePhase => {
    const idledMs = clock.now() - idleAt;
    return idledMs - keepAliveMs - IDLE_MARGIN_MS > LATE_CLOSE_MS ? 'idle-late' : 'idle';
  };

  const describeDaemon = () => {
    const gate = getGate();
    return {
      version: getConfigurationVersion(),
      sinceVersionMs: computeAge(configuredAt),
      gate: gate.phase,
      drainedMs: computeAge(gate.phase === 'accepting' ? null : gate.drainedAt),
    };
  };

  const recordEnd = (
    cause: ConnectionEndCause,
    phase: RequestPhase,
    details: EventDetails,
  ): void => {
    options.addCount(COUNTER, { cause, phase });
    options.record(cause === 'caller' ? 'request-abandoned' : 'request-cut', {
      ...details,
      data: { cause, phase, ...details.data, ...describeDaemon() },
    });
  };

  const reportRequest = (request: TrackedRequest, cause: ConnectionEndCause): RequestPhase => {
    const phase = findPhase(request);
    recordEnd(cause, phase, {
      requestId: request.id,
      data: {
        headMs: computeAge(request.headAt),
        lastReadMs: computeAge(request.lastReadAt),
        lastWriteMs: computeAge(request.lastWriteAt),
        bytesWritten: countBytesWritten(request),
        attempts: request.attempts,
        earlierRequests: request.earlierRequests,
        versionAtArrival: request.configurationVersion,
      },
    });
    return phase;
  };

  /** Bytes that are no request have a line of their own (`caller-unreadable`), and are only counted here. */
  const reportPartialHead = (
    { bytesRead, openedAt, requests: earlierRequests, socket }: TrackedConnection,
    cause: ConnectionEndCause,
  ): RequestPhase => {
    if (cause === 'unreadable') {
      options.addCount(COUNTER, { cause, phase: 'awaiting-head' });
      return 'awaiting-head';
    }
    recordEnd(cause, 'awaiting-head', {
      data: {
        headBytes: socket.bytesRead - bytesRead,
        openedMs: computeAge(openedAt),
        earlierRequests,
      },
    });
    return 'awaiting-head';
  };

  /** Reports what a connection leaves unanswered, and returns the phase of each request. */
  const reportConnection = (
    connection: TrackedConnection,
    cause: ConnectionEndCause,
  ): readonly RequestPhase[] => {
    connection.report = 'done';
    if (hasPartialHead(connection)) return [reportPartialHead(connection, cause)];
    if (connection.open.size === 0)
      options.addCount(COUNTER, { cause, phase: connection.idlePhase });
    return [...connection.open].map((request) => reportRequest(request, cause));
  };

  const removeConnection = (connection: TrackedConnection): void => {
    if (connection.report === 'due') reportConnection(connection, connection.cause ?? 'unknown');
    connections.delete(connection.socket);
    for (const { key } of connection.open) requests.delete(key);
  };

  const finishRequest = (request: TrackedRequest): void => {
    const { connection } = request;
    const { socket } = connection;
    // Node.js emits `finish` also for the bytes that the destruction of a connection drops.
    if (socket.destroyed) return;
    connection.open.delete(request);
    requests.delete(request.key);
    connection.bytesWritten = socket.bytesWritten;
    connection.idleAt = clock.now();
    // The listener of the HTTP server runs first, and ends the connection after its last answer.
    if (socket.writableEnded) connection.cause ??= 'last-answer';
  };

  return {
    trackConnection: (socket) => {
      const openedAt = clock.now();
      const connection: TrackedConnection = {
        socket,
        openedAt,
        open: new Set(),
        requests: 0,
        bytesRead: 0,
        bytesWritten: 0,
        idleAt: openedAt,
        keepAliveMs: 0,
        idlePhase: 'idle',
        cause: null,
        report: 'due',
      };
      connections.set(socket, connection);
      socket.on('end', () => {
        connection.cause ??= 'caller';
      });
      socket.on('close', () => {
        removeConnection(connection);
      });
    },
    trackRequest: (key, id, incoming, response) => {
      const connection = connections.get(incoming.socket);
      if (connection === undefined) return;
      const headAt = clock.now();
      const request: TrackedRequest = {
        key,
        id,
        connection,
        response,
        headAt,
        earlierRequests: connection.requests,
        configurationVersion: getConfigurationVersion(),
        body: 'partial',
        lastReadAt: headAt,
        lastWriteAt: null,
        attempts: 0,
      };
      connection.requests += 1;
      connection.keepAliveMs = idleMs;
      connection.open.add(request);
      requests.set(key, request);
      incoming.on('data', () => {
        request.lastReadAt = clock.now();
      });
      incoming.on('end', () => {
        request.body = 'whole';
        connection.bytesRead = countHandedOn(connection);
      });
      response.on('finish', () => {
        finishRequest(request);
      });
    },
    recordIdleClose: (socket) => {
      const connection = connections.get(socket);
      if (connection === undefined) return;
      connection.cause ??= 'idle-timeout';
      connection.idlePhase = classifyIdle(connection);
    },
    recordAttempt: (key) => {
      const request = requests.get(key);
      if (request !== undefined) request.attempts += 1;
    },
    recordWrite: (key) => {
      const request = requests.get(key);
      if (request !== undefined) request.lastWriteAt = clock.now();
    },
    recordCause: (key, cause) => {
      const connection = requests.get(key)?.connection;
      if (connection !== undefined) connection.cause ??= cause;
    },
    recordSocketCause: (socket, cause) => {
      const connection = connections.get(socket);
      if (connection !== undefined) connection.cause ??= cause;
    },
    recordClosed: (cause) => {
      for (const connection of connections.values()) {
        if (connection.socket.destroyed) connection.cause ??= cause;
      }
    },
    recordConfiguration: (idleTimeoutMs) => {
      idleMs = idleTimeoutMs;
      configuredAt = clock.now();
    },
    countUnsent: () =>
      [...connections.values()].filter(({ socket }) => socket.writableLength > 0).length,
    reportLeft: () => {
      // The process exits before the connections have emitted `close`.
      const ids = [...requests.values()].map(({ id }) => id);
      const counts: Record<RequestPhase, number> = {
        'awaiting-head': 0,
        'reading-body': 0,
        'awaiting-answer': 0,
        answering: 0,
        flushing: 0,
      };
      let total = 0;
      for (const connection of connections.values()) {
        for (const phase of reportConnection(connection, connection.cause ?? 'process-ended')) {
          counts[phase] += 1;
          total += 1;
        }
      }
      options.record('requests-left', {
        data: {
          total,
          ...counts,
          requestIds: ids.slice(0, MAX_LISTED_REQUESTS),
          ...describeDaemon(),
        },
      });
    },
  };
};
