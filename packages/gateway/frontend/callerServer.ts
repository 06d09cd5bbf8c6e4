import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import type { ConnectionTracker } from './connections.js';
import {
  DEFAULT_MAX_BODY_BYTES,
  LISTEN_BACKLOG,
  MAX_HEADER_BYTES,
  UNREADABLE_LINGER_MS,
} from './constants.js';
import { createConnectionTable } from '../../core/http/pacing/connectionTable.js';
import { createIdleConnections } from './idleConnections.js';
import { wirePacing } from '../../core/http/pacing/pacedServer.js';
import { createRequestRoom } from '../../core/http/pacing/requestRoom.js';
import type { Responders } from './responders.js';
import type { ConnectionEndCause } from './types.js';
import { createRequestBodies, hasBody } from '../../core/http/requestBodies.js';
import { openListener } from '../../core/openAddress.js';
import { runAfterReads } from '../../core/loop/runAfterReads.js';
import { createTurnQueue } from '../../core/loop/turnQueue.js';
import type { Clock, Millis } from '../../core/clock.js';
import type { MemoryAccount } from '../../core/memory/types.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';
import type { EndpointAddress, ForwardRequest } from '../../decisions/forwarding/types.js';
import { hasValidNames, isValidTarget } from '../headSyntax.js';
import type { BodyState } from '../events.js';
import type { CallerHead, HeadCodec } from '../types.js';

export interface CallerServerOptions {
  readonly codec: HeadCodec;
  readonly clock: Clock;
  readonly responders: Responders;
  readonly connections: ConnectionTracker;
  /** Interval of checking the header timeout; that of the HTTP server by default. */
  readonly headerCheckMs?: Millis;
  readonly memory: CallerMemory;
  /** Limit of the open connections, whatever the memory. */
  readonly maxConnections: number;
  /** Whether the daemon was busy or paused just now, so that its callers may have left meanwhile. */
  readonly isLate: () => boolean;
  /** Whether a request will be refused whatever its body, since its route or its key is unknown. */
  readonly isRefused: (head: CallerHead) => boolean;
  readonly postArrival: (request: ForwardRequest, body: BodyState) => 'queued' | 'shed';
  readonly postDisconnect: (key: number) => void;
  /** Receives an unexpected error, which ends one request. */
  readonly onFault: (error: unknown) => void;
}

/** Accounts of what callers send. */
export interface CallerMemory {
  /** Bodies of requests that have not ended. */
  readonly bodies: MemoryAccount;
  /** Heads of requests that have not ended, and what each of them takes beyond its bytes. */
  readonly requests: MemoryAccount;
  /** Fixed cost of open connections. */
  readonly connections: MemoryAccount;
  /** Bytes that have been read and are no request yet. */
  readonly unparsed: MemoryAccount;
}

export interface CallerServer {
  readonly listen: (address: EndpointAddress) => Promise<void>;
  readonly applyLimits: (
    idleTimeoutMs: Millis,
    headerTimeoutMs: Millis,
    maxBodyBytes: number,
  ) => void;
  readonly closeIdle: () => void;
  readonly countConnections: () => number;
  /** Counts the connections with a request that has no complete answer, parsed or not. */
  readonly countDue: () => number;
  readonly close: () => void;
}

const BAD_REQUEST_RESPONSE = 'HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n';

const INVALID_HEAD = createFailure(
  'not-run',
  'bad-request',
  'the path or the name of a header has invalid characters',
);
const BODY_TOO_LARGE = createFailure('not-run', 'too-large', 'the body is too large');
const BUFFERS_FULL = createFailure(
  'not-run',
  'overloaded',
  'the buffers for request bodies are full',
  200,
);
const TOO_MANY_REQUESTS = createFailure(
  'not-run',
  'overloaded',
  'the open requests take all of their memory',
  200,
);
const QUEUE_FULL = createFailure('not-run', 'overloaded', 'the event queue is full', 200);

const HEADER_TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT';

/** The caller closed its connection inside a request. */
const INCOMPLETE_CODE = 'HPE_INVALID_EOF_STATE';

const getCode = (error: Error): string => ('code' in error ? String(error.code) : '');

/** Tells why the HTTP server reports an error; other codes are those of broken connections. */
const classifyClientError = (error: Error): ConnectionEndCause => {
  const code = getCode(error);
  if (code === HEADER_TIMEOUT_CODE) return 'header-timeout';
  return code.startsWith('HPE_') && code !== INCOMPLETE_CODE ? 'unreadable' : 'caller';
};

/** Reports whether a caller has closed its connection, once all that it has sent has been read. */
const hasLeft = ({ socket }: IncomingMessage): Promise<boolean> =>
  new Promise((resolve) => {
    runAfterReads(() => {
      resolve(socket.destroyed || socket.readableEnded);
    });
  });

/**
 * Keeps the connection of a refused request open for the rest of its body: to close it with unread bytes
 * resets it, and the caller may lose the answer.
 */
const holdOpenForRest = (response: ServerResponse): void => {
  if (!response.req.complete) response.shouldKeepAlive = true;
};

const runOnceClosed = (response: ServerResponse, run: () => void): void => {
  if (response.closed) run();
  else response.once('close', run);
};

/**
 * Creates the server for callers. It reads the whole body before it posts a request, since a retry
 * sends the body again.
 *
 * @param options - codec, clock, responders and event handlers
 * @returns the server, not yet listening
 */
export const createCallerServer = (options: CallerServerOptions): CallerServer => {
  const { codec, clock, connections, responders } = options;
  const { memory } = options;
  const table = createConnectionTable(memory, options.maxConnections, clock);
  const bodies = createRequestBodies(memory.bodies, DEFAULT_MAX_BODY_BYTES, table.closeStalled);
  const idleConnections = createIdleConnections(connections.recordIdleClose);
  let nextKey = 1;

  /** Refuses a request whose body has not been read. */
  const refuseUnread = (key: number, response: ServerResponse, failure: Failure): void => {
    holdOpenForRest(response);
    responders.refuse(key, failure);
  };

  /** An error is met again by the decision on the whole request, where its supervisor handles it. */
  const isRefusedByHead = (incoming: IncomingMessage, head: CallerHead): boolean => {
    try {
      return hasBody(incoming) && options.isRefused(head);
    } catch {
      return false;
    }
  };

  const post = (request: ForwardRequest, body: BodyState): void => {
    if (options.postArrival(request, body) === 'shed') responders.refuse(request.key, QUEUE_FULL);
  };

  const accept = async (incoming: IncomingMessage, response: ServerResponse): Promise<void> => {
    const { receivedAt, room } = pacing.getArrival(incoming);
    const head = codec.decodeCaller(
      incoming.method ?? 'GET',
      incoming.url ?? '/',
      incoming.rawHeaders,
    );
    const key = nextKey;
    nextKey += 1;
    responders.open(key, head.id, response);
    connections.trackRequest(key, head.id, incoming, response);
    idleConnections.recordStatedTimeout(incoming.socket, server.keepAliveTimeout);
    if (!isValidTarget(head.path) || !hasValidNames(incoming.rawHeaders)) {
      responders.reportUnreadable(new Error(INVALID_HEAD.message));
      // The two ends may disagree on where such a request ends.
      response.shouldKeepAlive = false;
      responders.refuse(key, INVALID_HEAD);
      return;
    }
    if (room === 'refused') {
      refuseUnread(key, response, TOO_MANY_REQUESTS);
      return;
    }
    if (isRefusedByHead(incoming, head)) {
      holdOpenForRest(response);
      post({ ...head, key, body: [], receivedAt }, 'unread');
      return;
    }
    const result = await bodies.read(incoming);
    switch (result.kind) {
      case 'broken':
        responders.remove(key);
        return;
      case 'too-large':
        refuseUnread(key, response, BODY_TOO_LARGE);
        return;
      case 'no-room':
        refuseUnread(key, response, BUFFERS_FULL);
        return;
      case 'whole':
        break;
    }
    runOnceClosed(response, result.release);
    if (options.isLate() && (await hasLeft(incoming))) {
      responders.remove(key);
      return;
    }
    // It was refused because the state of all requests was lost meanwhile.
    if (!responders.has(key)) return;
    response.on('close', () => {
      if (responders.has(key)) options.postDisconnect(key);
    });
    post({ ...head, key, body: result.body, receivedAt }, 'whole');
  };

  /** Answers bytes that are no request; a caller that does not close its connection then has it closed. */
  const endUnreadable = (socket: Duplex): void => {
    socket.end(BAD_REQUEST_RESPONSE);
    setTimeout(() => socket.destroy(), UNREADABLE_LINGER_MS).unref();
  };

  const server: Server = createServer(
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      noDelay: true,
      requestTimeout: 0,
      connectionsCheckingInterval: options.headerCheckMs,
    },
    (incoming, response) => {
      accept(incoming, response).catch((error: unknown) => {
        options.onFault(error);
        response.destroy();
      });
    },
  );
  const pacing = wirePacing(server, {
    clock,
    table,
    room: createRequestRoom(memory.requests, clock, table.closeStalled),
    turns: createTurnQueue(),
    onConnection: connections.trackConnection,
    getMaxBodyBytes: bodies.getMaxBodyBytes,
    onClose: connections.recordSocketCause,
  });
  // With this listener, the HTTP server does not close the connection by itself.
  server.on('timeout', idleConnections.handleTimeout);
  server.on('clientError', (error, socket) => {
    // Reports only parse errors; a broken connection is handled by the `close` of its request.
    const isUnreadable = getCode(error).startsWith('HPE_');
    const cause = classifyClientError(error);
    if (isUnreadable) responders.reportUnreadable(error);
    connections.recordSocketCause(socket, cause);
    if (isUnreadable && socket.writable) endUnreadable(socket);
    else socket.destroy();
  });

  return {
    listen: ({ host, port }) => openListener(server, { host, port, backlog: LISTEN_BACKLOG }),
    applyLimits: (idleTimeoutMs, headerTimeoutMs, maxBodyBytes) => {
      server.keepAliveTimeout = idleTimeoutMs;
      server.headersTimeout = headerTimeoutMs;
      bodies.setMaxBodyBytes(maxBodyBytes);
      connections.recordConfiguration(idleTimeoutMs);
    },
    countConnections: table.count,
    countDue: table.countDue,
    closeIdle: () => {
      // Requests that have already arrived are read first, and refused.
      runAfterReads(() => {
        server.close();
        connections.recordClosed('drain-ended');
      });
    },
    close: () => {
      connections.reportLeft();
      server.close();
      server.closeAllConnections();
    },
  };
};
