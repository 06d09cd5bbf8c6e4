import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import type { ExecutionContext } from 'ava';
import { createCallerServer } from './callerServer.js';
import type { CallerMemory } from './callerServer.js';
import { createConnectionTracker } from './connections.js';
import { MAX_CONNECTIONS } from './constants.js';
import type { ConnectionTracker } from './connections.js';
import type { GateState } from './gate.js';
import { createResponders } from './responders.js';
import type { Responders } from './responders.js';
import { createVirtualClock } from '../../core/clock.js';
import type { VirtualClock } from '../../core/clock.js';
import type { EventName } from '../../core/events/catalogue.js';
import type { EventDetails } from '../../core/events/types.js';
import { createMemoryAccount } from '../../core/memory/memoryAccount.js';
import type { ForwardRequest } from '../../decisions/forwarding/types.js';
import type { GatewayEffect } from '../effects.js';
import { performEffect } from '../perform.js';
import type { GatewayAdapters } from '../perform.js';
import type { AnswerHead, CallerHead } from '../types.js';

const HOST = '127.0.0.1';

/** Limit of the bytes of all buffered bodies. */
export const MAX_BUFFERED_BODY_BYTES = 100_000;

/** Limits of the memory of open requests and of unread answers. */
const MAX_REQUEST_BYTES = 1024 * 1024;
const MAX_UNREAD_BYTES = 64 * 1024 * 1024;

/** Limit of what connections and bytes that are no request yet take. */
const MAX_CONNECTION_BYTES = 4 * 1024 * 1024;

export const ANSWER_HEAD: AnswerHead = {
  status: 200,
  headers: [],
  requestId: null,
  signature: 'signed',
  proof: 'none',
  encoding: 'plain',
  framing: 'framed',
};

export interface RecordedEvent extends EventDetails {
  readonly name: EventName;
}

/** Connection of a caller, whose bytes a test writes by itself. */
export interface TestCaller {
  readonly socket: Socket;
  readonly send: (text: string) => void;
  readonly waitForText: (part: string) => Promise<void>;
  readonly waitForClose: () => Promise<void>;
}

/** A caller server on a virtual clock, with its responders and the performer of the effects. */
export interface CallerHarness {
  readonly clock: VirtualClock;
  readonly responders: Responders;
  readonly events: readonly RecordedEvent[];
  /** Counted ends of connections, each as `cause phase`. */
  readonly counted: readonly string[];
  readonly perform: (effect: GatewayEffect) => void;
  /** Makes requests of an id ones that are refused by their head. */
  readonly refuseHead: (id: string) => void;
  readonly setVersion: (version: number) => void;
  readonly setGate: (state: GateState) => void;
  /** Makes the daemon late, as after a pause. */
  readonly setLate: () => void;
  /** Lists the ids of the requests that have been passed on to the decisions. */
  readonly listArrivals: () => readonly string[];
  readonly closeServer: () => void;
  readonly memory: CallerMemory;
  readonly countConnections: () => number;
  /** Counts the connections with a request that has no complete answer, parsed or not. */
  readonly countDue: () => number;
  readonly openCaller: () => TestCaller;
  /** Resolves with the request once it has been read completely. */
  readonly waitForRequest: (id: string) => Promise<ForwardRequest>;
  readonly waitForEvent: (name: EventName) => Promise<RecordedEvent>;
  readonly waitForCount: (causeAndPhase: string) => Promise<void>;
}

/** Values that arrive over time, and those that wait for one of them. */
interface Arrivals<Value> {
  readonly values: Value[];
  readonly add: (value: Value) => void;
  readonly waitFor: (check: (value: Value) => boolean) => Promise<Value>;
}

const createArrivals = <Value>(): Arrivals<Value> => {
  const values: Value[] = [];
  const waiting = new Set<(value: Value) => void>();
  return {
    values,
    add: (value) => {
      values.push(value);
      for (const notify of waiting) notify(value);
    },
    waitFor: (check) =>
      new Promise((resolve) => {
        const known = values.find(check);
        if (known !== undefined) {
          resolve(known);
          return;
        }
        const notify = (value: Value): void => {
          if (!check(value)) return;
          waiting.delete(notify);
          resolve(value);
        };
        waiting.add(notify);
      }),
  };
};

const findFreePort = (): Promise<number> =>
  new Promise((resolve) => {
    const server = createServer();
    server.listen(0, HOST, () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => {
        resolve(port);
      });
    });
  });

const openCaller = (port: number): TestCaller => {
  const socket = connect({ host: HOST, port });
  const texts = createArrivals<string>();
  let text = '';
  socket.on('data', (bytes) => {
    text += bytes.toString('latin1');
    texts.add(text);
  });
  // A reset connection also emits `close`.
  socket.on('error', () => undefined);
  const closed = new Promise<void>((resolve) => {
    socket.on('close', () => {
      resolve();
    });
  });
  return {
    socket,
    send: (part) => {
      socket.write(part);
    },
    waitForText: async (part) => {
      await texts.waitFor((received) => received.includes(part));
    },
    waitForClose: () => closed,
  };
};

const decodeCaller = (method: string, path: string): CallerHead => ({
  id: path.slice(1),
  method,
  path,
  host: HOST,
  headers: [],
  credential: null,
  callerTimeoutMs: null,
  demand: null,
  promptParts: [],
  lastEventId: null,
});

/**
 * Formats a request whose id is its path.
 *
 * @param id - id of the request
 * @param body - body, which may be longer than what is sent of it
 * @param bodyBytes - length that the head states
 * @returns bytes of the request
 */
export const formatRequest = (id: string, body = '', bodyBytes = body.length): string =>
  `POST /${id} HTTP/1.1\r\nHost: h\r\nContent-Length: ${bodyBytes.toString()}\r\n\r\n${body}`;

/**
 * Waits for a text on a connection, or for its end.
 *
 * @param caller - connection
 * @param text - part of what is expected
 * @returns whether the text came
 */
export const checkReceived = (
  { waitForClose, waitForText }: TestCaller,
  text: string,
): Promise<boolean> =>
  Promise.race([waitForText(text).then(() => true), waitForClose().then(() => false)]);

/**
 * Creates a tracker of connections whose records nobody reads.
 *
 * @returns the tracker
 */
export const createTestConnections = (): ConnectionTracker =>
  createConnectionTracker({
    clock: createVirtualClock(0),
    getConfigurationVersion: () => 1,
    getGate: () => ({ phase: 'accepting' }),
    record: () => undefined,
    addCount: () => undefined,
  });

/**
 * Creates accounts that no test fills.
 *
 * @returns the accounts
 */
export const createTestMemory = (): CallerMemory => ({
  bodies: createMemoryAccount(MAX_BUFFERED_BODY_BYTES),
  requests: createMemoryAccount(MAX_REQUEST_BYTES),
  connections: createMemoryAccount(MAX_CONNECTION_BYTES),
  unparsed: createMemoryAccount(MAX_CONNECTION_BYTES),
});

/**
 * Starts a caller server on a free port.
 *
 * @param t - test that closes the server at its end
 * @param memory - accounts of what callers send
 * @returns the harness
 */
export const startCallerServer = async (
  t: ExecutionContext,
  memory = createTestMemory(),
): Promise<CallerHarness> => {
  const clock = createVirtualClock(1_000);
  const events = createArrivals<RecordedEvent>();
  const counts = createArrivals<string>();
  const requests = createArrivals<ForwardRequest>();
  let version = 1;
  let gate: GateState = { phase: 'accepting' };
  let lateness: 'late' | 'in-time' = 'in-time';
  const connections = createConnectionTracker({
    clock,
    getConfigurationVersion: () => version,
    getGate: () => gate,
    record: (name, details) => {
      events.add({ name, ...details });
    },
    addCount: (_, { cause = '', phase = '' }) => {
      counts.add(`${cause} ${phase}`);
    },
  });
  const refused = new Set<string>();
  const unreadMemory = createMemoryAccount(MAX_UNREAD_BYTES);
  const responders = createResponders(connections, () => undefined, unreadMemory);
  const callers = createCallerServer({
    codec: {
      decodeCaller,
      encodeAttempt: () => [],
      decodeAnswer: () => ANSWER_HEAD,
      decodeStatements: () => [],
      isReadinessPath: () => false,
    },
    clock,
    responders,
    connections,
    headerCheckMs: 10,
    memory,
    maxConnections: MAX_CONNECTIONS,
    isLate: () => lateness === 'late',
    isRefused: (head) => refused.has(head.id),
    postArrival: (request) => {
      requests.add(request);
      return 'queued';
    },
    postDisconnect: (key) => {
      responders.remove(key);
    },
    onFault: (error) => {
      throw error;
    },
  });
  const adapters = {
    callers,
    connections,
    responders,
    endpoints: { open: () => undefined, close: () => undefined },
    loop: () => ({ post: () => 'queued' }),
  } as unknown as GatewayAdapters;
  const port = await findFreePort();
  await callers.listen({ host: HOST, port });
  const opened: TestCaller[] = [];
  t.teardown(() => {
    for (const { socket } of opened) socket.destroy();
    callers.closeIdle();
    callers.close();
  });
  return {
    clock,
    responders,
    events: events.values,
    counted: counts.values,
    perform: (effect) => {
      performEffect(effect, adapters);
    },
    refuseHead: (id) => {
      refused.add(id);
    },
    setVersion: (next) => {
      version = next;
    },
    setGate: (state) => {
      gate = state;
    },
    setLate: () => {
      lateness = 'late';
    },
    listArrivals: () => requests.values.map(({ id }) => id),
    closeServer: () => {
      callers.close();
    },
    memory,
    countConnections: callers.countConnections,
    countDue: callers.countDue,
    openCaller: () => {
      const caller = openCaller(port);
      opened.push(caller);
      return caller;
    },
    waitForRequest: (id) => requests.waitFor((request) => request.id === id),
    waitForEvent: (name) => events.waitFor((event) => event.name === name),
    waitForCount: async (causeAndPhase) => {
      await counts.waitFor((count) => count === causeAndPhase);
    },
  };
};
