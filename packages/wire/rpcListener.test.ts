import { once } from 'node:events';
import { connect } from 'node:http2';
import type { ClientHttp2Session, ClientHttp2Stream } from 'node:http2';
import { create, toBinary } from '@bufbuild/protobuf';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import * as fc from 'fast-check';
import {
  CALL_OVERHEAD_BYTES,
  CONNECTION_OVERHEAD_BYTES,
  FIELD_OVERHEAD_BYTES,
  MAX_INPUT_BYTES,
} from './constants.js';
import {
  EndpointService,
  FenceRequestSchema,
  FenceResponseSchema,
} from './gen/chestnutspan/v1/chestnutspan_pb.js';
import { createRpcListener } from './rpcListener.js';
import { createMemoryAccount } from '../core/memory/memoryAccount.js';

const MAX_CALLS = 8;
const MAX_CONNECTIONS = 8;
/** Turns of the event loop in which a connection that makes room is gone. */
const CLOSING_TURNS = 1_000;
/** Memory of the connections of which one place is kept free. */
const MAX_KEPT_BYTES = (MAX_CONNECTIONS - 1) * CONNECTION_OVERHEAD_BYTES;

/** Starts a listener whose calls end when `answerAll` is called; `ran` counts those it has seen. */
const startListener = async (t: ExecutionContext, messageTimeoutMs = 60_000) => {
  const waiting: (() => void)[] = [];
  const seen = { ran: 0 };
  const memory = {
    calls: createMemoryAccount(MAX_CALLS * (CALL_OVERHEAD_BYTES + 1_024)),
    connections: createMemoryAccount(MAX_CONNECTIONS * CONNECTION_OVERHEAD_BYTES),
    input: createMemoryAccount(MAX_CONNECTIONS * MAX_INPUT_BYTES),
  };
  const listener = createRpcListener(
    (router) => {
      router.service(EndpointService, {
        fence: async () => {
          seen.ran += 1;
          await new Promise<void>((resolve) => waiting.push(resolve));
          return create(FenceResponseSchema, { result: 'fenced' });
        },
      });
    },
    memory,
    messageTimeoutMs,
  );
  const url = await listener.listen('127.0.0.1', 0);
  t.teardown(() => listener.close());
  const answerAll = (): void => {
    for (const resolve of waiting.splice(0)) resolve();
  };
  return { answerAll, memory, seen, url };
};

const openSession = (t: ExecutionContext, url: string): ClientHttp2Session => {
  const session = connect(url);
  session.on('error', () => undefined);
  t.teardown(() => {
    session.destroy();
  });
  return session;
};

/** Waits until the listener has taken a connection, or dropped it. */
const waitForSession = (session: ClientHttp2Session): Promise<void> =>
  new Promise((resolve) => {
    for (const event of ['remoteSettings', 'close'] as const)
      session.once(event, () => {
        resolve();
      });
  });

const MESSAGE = toBinary(FenceRequestSchema, create(FenceRequestSchema, { format: 1 }));

const openCall = (
  session: ClientHttp2Session,
  headers: Readonly<Record<string, string>> = {},
): ClientHttp2Stream => {
  const stream = session.request({
    ':method': 'POST',
    ':path': '/chestnutspan.v1.EndpointService/Fence',
    'content-type': 'application/proto',
    ...headers,
  });
  stream.on('error', () => undefined);
  stream.resume();
  return stream;
};

/** Waits for the head of an answer, or for the end of a call that gets none. */
const waitForAnswer = (stream: ClientHttp2Stream): Promise<string> =>
  new Promise((resolve) => {
    stream.on('response', ({ ':status': status }) => {
      resolve(String(status));
    });
    stream.on('close', () => {
      resolve(`reset ${String(stream.rstCode)}`);
    });
  });

const waitForZero = async (getReserved: () => number): Promise<void> => {
  while (getReserved() > 0) await new Promise(setImmediate);
};

// Guards against calls that become objects before anyone has asked for room: 20,000 open streams ended
// daemons with a heap of 90 MB.
test('a call without room is refused as not processed, and room that is released serves again', async (t) => {
  const { answerAll, memory, seen, url } = await startListener(t);
  const session = openSession(t, url);
  const calls = Array.from({ length: MAX_CALLS * 3 }, () => openCall(session));
  const answers = calls.map(waitForAnswer);
  for (const call of calls) call.end(MESSAGE);
  while (seen.ran < MAX_CALLS) await new Promise(setImmediate);
  const refused = await Promise.all(answers.slice(MAX_CALLS));
  t.deepEqual([...new Set(refused)], ['reset 7']);
  t.is(seen.ran, MAX_CALLS);
  answerAll();
  t.deepEqual([...new Set(await Promise.all(answers.slice(0, MAX_CALLS)))], ['200']);
  await waitForZero(memory.calls.getReserved);
  const further = openCall(session);
  const answer = waitForAnswer(further);
  further.end(MESSAGE);
  while (seen.ran === MAX_CALLS) await new Promise(setImmediate);
  answerAll();
  t.is(await answer, '200');
});

// Guards against a call whose message never comes and which keeps its memory for ever, and against the
// end of a call that has its message and runs for longer.
test('a call without its message is ended, one that runs is not', async (t) => {
  const { answerAll, memory, seen, url } = await startListener(t, 50);
  const session = openSession(t, url);
  const running = openCall(session);
  const answer = waitForAnswer(running);
  running.end(MESSAGE);
  const partial = openCall(session);
  partial.write(MESSAGE.subarray(0, 1));
  t.is(await waitForAnswer(partial), 'reset 7');
  t.is(seen.ran, 1);
  answerAll();
  t.is(await answer, '200');
  await waitForZero(memory.calls.getReserved);
});

// Guards against a small message that is decoded to many objects: 4 MB of empty messages ended daemons.
test('a message of more fields than there is room for is not decoded', async (t) => {
  const { seen, url } = await startListener(t);
  const call = openCall(openSession(t, url));
  const answer = waitForAnswer(call);
  const fields = (MAX_CALLS * (CALL_OVERHEAD_BYTES + 1_024)) / FIELD_OVERHEAD_BYTES;
  // Field 1 with value 0.
  call.end(Buffer.alloc(2 * Math.ceil(fields), Buffer.from([0x08, 0x00])));
  t.is(await answer, 'reset 7');
  t.is(seen.ran, 0);
});

// Guards against forms of a message that grow when they are read: the daemons use none of them.
test('compressed messages and other encodings are refused', async (t) => {
  const { memory, seen, url } = await startListener(t);
  const session = openSession(t, url);
  const forms: readonly Readonly<Record<string, string>>[] = [
    { 'content-encoding': 'gzip' },
    { 'connect-content-encoding': 'br', 'content-type': 'application/connect+proto' },
    { 'content-type': 'application/json' },
    { 'content-type': 'application/grpc+proto' },
  ];
  for (const headers of forms) {
    const call = openCall(session, headers);
    const answer = waitForAnswer(call);
    call.end(MESSAGE);
    t.is(await answer, '415', JSON.stringify(headers));
  }
  await waitForZero(memory.calls.getReserved);
  t.is(seen.ran, 0);
});

// Guards against connections without calls that fill the memory or keep others out, and against a
// running call whose connection is closed for them.
test('the connection that is idle for the longest time makes room, and none with a call', async (t) => {
  const { answerAll, seen, url } = await startListener(t);
  const busy = openSession(t, url);
  const call = openCall(busy);
  const answer = waitForAnswer(call);
  call.end(MESSAGE);
  while (seen.ran === 0) await new Promise(setImmediate);
  const idle: ClientHttp2Session[] = [];
  for (let opened = 0; opened < MAX_CONNECTIONS * 2; opened += 1) {
    const session = openSession(t, url);
    idle.push(session);
    await once(session, 'remoteSettings');
  }
  const [first] = idle;
  if (first?.closed === false) await once(first, 'close');
  t.false(busy.closed);
  answerAll();
  t.is(await answer, '200');
});

// Guards against peers whose messages never end: they took all connections, and calls of others were not accepted.
test('connections whose calls lack their messages make room, the one that waits for longest first', async (t) => {
  const { answerAll, memory, seen, url } = await startListener(t);
  const crowd: ClientHttp2Session[] = [];
  const answers: Promise<string>[] = [];
  for (let opened = 0; opened < MAX_CONNECTIONS * 2; opened += 1) {
    const session = openSession(t, url);
    const call = openCall(session);
    call.write(MESSAGE.subarray(0, 1));
    answers.push(waitForAnswer(call));
    crowd.push(session);
    await waitForSession(session);
    // One that makes room keeps its place until it has closed.
    for (let turn = 0; turn < CLOSING_TURNS; turn += 1)
      if (memory.connections.getReserved() > MAX_KEPT_BYTES) await new Promise(setImmediate);
  }
  const call = openCall(openSession(t, url));
  const answer = waitForAnswer(call);
  call.end(MESSAGE);
  while (seen.ran === 0 && !call.closed) await new Promise(setImmediate);
  answerAll();
  t.is(await answer, '200');
  t.is(await answers[0], 'reset 7');
  for (const session of crowd) session.destroy();
  await waitForZero(memory.calls.getReserved);
});

type Step = 'open' | 'part' | 'end' | 'reset' | 'answer' | 'close' | 'connect' | 'malformed';

const STEPS: readonly Step[] = [
  'open',
  'open',
  'open',
  'open',
  'part',
  'end',
  'end',
  'end',
  'end',
  'reset',
  'answer',
  'close',
  'connect',
  'malformed',
];

// Guards against memory that stays reserved after its call or connection has ended, whatever ended it.
test('nothing is reserved once all calls and connections have ended', async (t) => {
  const { answerAll, memory, seen, url } = await startListener(t);
  const connectSession = async (): Promise<ClientHttp2Session> => {
    const session = openSession(t, url);
    await Promise.race([once(session, 'remoteSettings'), once(session, 'close')]);
    return session;
  };
  let refused = 0;
  const sumReserved = (): number =>
    Object.values(memory).reduce((sum, account) => sum + account.getReserved(), 0);
  const runSteps = async (steps: readonly (readonly [Step, number])[]): Promise<void> => {
    const sessions = [await connectSession()];
    const calls: ClientHttp2Stream[] = [];
    for (const [step, choice] of steps) {
      const session = sessions[choice % sessions.length];
      const call = calls.filter(({ writable }) => writable)[0];
      if (step === 'open' && session?.destroyed === false) calls.push(openCall(session));
      else if (step === 'connect') sessions.push(await connectSession());
      else if (step === 'close') session?.destroy();
      else if (step === 'answer') answerAll();
      else if (step === 'reset') call?.close(8);
      else if (call !== undefined) {
        if (step === 'part') call.write(Buffer.alloc(500 * choice));
        if (step === 'end') call.end(MESSAGE);
        if (step === 'malformed') call.end(Buffer.from([0x0a, 0xff]));
      }
      // Lets the listener receive what was sent, in most cases.
      if (choice % 4 > 0) for (let turn = 0; turn < 4; turn += 1) await new Promise(setImmediate);
    }
    for (const session of sessions) session.destroy();
    answerAll();
    await waitForZero(sumReserved);
    for (const account of Object.values(memory)) t.is(account.getReserved(), 0);
    refused += calls.filter(({ rstCode }) => rstCode === 7).length;
  };
  const steps = fc.array(fc.tuple(fc.constantFrom(...STEPS), fc.nat(40)), {
    minLength: 40,
    maxLength: 80,
  });
  await fc.assert(fc.asyncProperty(steps, runSteps), { seed: 42, numRuns: 100 });
  // The steps reach the handler, and the limit of the memory.
  t.true(seen.ran > 100, seen.ran.toString());
  t.true(refused > 0);
});
