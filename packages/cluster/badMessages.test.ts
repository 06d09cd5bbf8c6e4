import { connect } from 'node:http2';
import type { ClientHttp2Session } from 'node:http2';
import { create, toBinary } from '@bufbuild/protobuf';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { createId } from '../core/ids.js';
import { createRpcServer } from '../endpoint/rpc/rpcServer.js';
import type { EndpointEvent } from '../endpoint/types.js';
import { createEntryClient } from '../endpoint/heartbeats/entryClient.js';
import { createHeartbeatServer } from '../entry/membership/heartbeatServer.js';
import type { ReceivedHeartbeat } from '../entry/types.js';
import { createEndpointClient } from '../entry/requests/endpointClient.js';
import type {
  EndpointCompletion,
  OpenCall,
  OpenGeneration,
} from '../entry/requests/endpointMessages.js';
import { issueFirstPermit } from '../decisions/retries/permit.fixture.js';
import { MAX_MESSAGE_BYTES } from '../wire/constants.js';
import {
  CallRequestSchema,
  FenceRequestSchema,
  GenerateRequestSchema,
} from '../wire/gen/chestnutspan/v1/chestnutspan_pb.js';

/** Creates a queue of received items; `take` waits for the next one. */
const createInbox = <Item>() => {
  const items: Item[] = [];
  const waiting: ((item: Item) => void)[] = [];
  return {
    items,
    push: (item: Item): void => {
      const resolve = waiting.shift();
      if (resolve === undefined) items.push(item);
      else resolve(item);
    },
    take: (): Promise<Item> =>
      new Promise((resolve) => {
        const item = items.shift();
        if (item === undefined) waiting.push(resolve);
        else resolve(item);
      }),
  };
};

const INCARNATION = createId();

/** Starts the RPC server of an endpoint daemon; `received` holds the events for its loop. */
const startEndpointSide = async (t: ExecutionContext) => {
  const received = createInbox<EndpointEvent>();
  const server = createRpcServer(INCARNATION, Date.now, (event) => {
    received.push(event);
    return 'queued';
  });
  const url = await server.listen('127.0.0.1', 0);
  t.teardown(() => server.close());
  return { server, url, received };
};

/** Creates the endpoint client of an entry daemon; `completed` holds its results. */
const startEntrySide = (t: ExecutionContext) => {
  const completed = createInbox<EndpointCompletion>();
  const client = createEndpointClient('entry', () => 0, completed.push);
  t.teardown(client.close);
  return { client, completed };
};

const buildCall = (url: string, body: Uint8Array): OpenCall => ({
  url,
  requestId: createId(),
  permit: issueFirstPermit(60_000),
  customer: 'caroni',
  className: 'standard',
  importance: 'standard',
  service: 'ledger',
  method: 'POST',
  path: '/sweeps',
  headers: [],
  body,
  incarnation: INCARNATION,
  nonce: createId(),
  key: 'k',
  fingerprint: 'f',
});

const buildGeneration = (url: string, body: Uint8Array): OpenGeneration => ({
  url,
  requestId: createId(),
  generationId: createId(),
  link: 0,
  mode: 'start',
  fromNumber: 0,
  incarnation: INCARNATION,
  customer: 'caroni',
  className: 'standard',
  route: 'chat',
  importance: 'standard',
  permit: issueFirstPermit(60_000),
  fingerprint: 'f',
  promptTokens: 1,
  nonce: null,
  body,
});

const OVERSIZED_BODY = new Uint8Array(MAX_MESSAGE_BYTES);
const SMALL_BODY = new Uint8Array(8);

// Guards against a message that the endpoint daemon cannot read: the entry daemon could not know
// whether the request ran, and would suspect the endpoint of having failed.
test('a request too large for a message is refused as not-run before it is sent', async (t) => {
  const { url, received } = await startEndpointSide(t);
  const { client, completed } = startEntrySide(t);
  const failure = { verdict: 'not-run', code: 'too-large' };
  client.callEndpoint(buildCall(url, OVERSIZED_BODY));
  const call = await completed.take();
  t.like(call, { kind: 'call-failed', failure });
  t.regex(call.kind === 'call-failed' ? call.failure.message : '', /^body: 4194304 bytes/);
  client.openGeneration(buildGeneration(url, OVERSIZED_BODY));
  t.like(await completed.take(), { kind: 'generation-failed', failure });
  t.deepEqual(received.items, []);
  // The same connection still serves a small request.
  client.callEndpoint(buildCall(url, SMALL_BODY));
  t.like(await received.take(), { kind: 'call-requested', call: { path: '/sweeps' } });
});

// Guards against an answer that is lost in transit although the request ran.
test('an answer too large for a message is reported as ran', async (t) => {
  const { server, url, received } = await startEndpointSide(t);
  const { client, completed } = startEntrySide(t);
  const answer = { status: 201, headers: [], body: OVERSIZED_BODY };
  client.callEndpoint(buildCall(url, SMALL_BODY));
  const event = await received.take();
  if (event.kind === 'call-requested') server.replyAnswer(event.call.callId, answer);
  t.like(await completed.take(), { failure: { verdict: 'ran', code: 'too-large' } });
  const nonce = createId();
  client.fenceNonce({ url, requestId: createId(), nonce, incarnation: INCARNATION });
  const fence = await received.take();
  if (fence.kind === 'fence') server.replyFence(fence.call.callId, 'finished', answer);
  t.like(await completed.take(), { nonce, result: { kind: 'finished', answer: null } });
});

interface RawAnswer {
  readonly status: number;
  readonly text: string;
}

/** Sends raw bytes, as a faulty peer or a broken connection would. */
const sendRaw = (
  session: ClientHttp2Session,
  path: string,
  type: string,
  body: Uint8Array,
): Promise<RawAnswer> =>
  new Promise((resolve, reject) => {
    const stream = session.request({
      ':method': 'POST',
      ':path': `/chestnutspan.v1.EndpointService/${path}`,
      'content-type': type,
      'connect-protocol-version': '1',
    });
    let status = 0;
    const parts: Buffer[] = [];
    stream.on('response', (headers) => {
      status = headers[':status'] ?? 0;
    });
    stream.on('data', (part: Buffer) => parts.push(part));
    stream.on('end', () => {
      resolve({ status, text: Buffer.concat(parts).toString('latin1') });
    });
    stream.on('error', reject);
    stream.end(body);
  });

/** Prepends the Connect envelope: a flag byte and the declared length of the message. */
const addEnvelope = (message: Uint8Array, declaredLength: number): Uint8Array => {
  const envelope = Buffer.alloc(5 + message.length);
  envelope.writeUInt32BE(declaredLength, 1);
  envelope.set(message, 5);
  return envelope;
};

const CALL_MESSAGE = toBinary(
  CallRequestSchema,
  create(CallRequestSchema, { format: 1, method: 'POST', path: '/sweeps', body: SMALL_BODY }),
);
const GENERATE_MESSAGE = toBinary(
  GenerateRequestSchema,
  create(GenerateRequestSchema, { format: 1, mode: 'start', body: SMALL_BODY }),
);

// Guards against a truncated message that starts work, and against a message whose error breaks the
// connection for other requests.
test('a truncated or oversized message starts nothing and is answered with an error', async (t) => {
  const { url, received } = await startEndpointSide(t);
  const session = connect(url);
  t.teardown(() => {
    session.destroy();
  });
  const truncated = CALL_MESSAGE.subarray(0, CALL_MESSAGE.length - 3);
  const unary = await sendRaw(session, 'Call', 'application/proto', truncated);
  t.is(unary.status, 500);
  t.regex(unary.text, /parse binary/);
  const oversized = await sendRaw(
    session,
    'Call',
    'application/proto',
    new Uint8Array(OVERSIZED_BODY.length + 1),
  );
  t.is(oversized.status, 429);
  t.regex(oversized.text, /larger than configured readMaxBytes 4194304/);
  const { length } = GENERATE_MESSAGE;
  const type = 'application/connect+proto';
  const incomplete = addEnvelope(GENERATE_MESSAGE.subarray(0, length - 3), length);
  t.regex((await sendRaw(session, 'Generate', type, incomplete)).text, /incomplete envelope/);
  const truncatedPayload = addEnvelope(GENERATE_MESSAGE.subarray(0, length - 3), length - 3);
  t.regex((await sendRaw(session, 'Generate', type, truncatedPayload)).text, /parse binary/);
  const oversizedEnvelope = addEnvelope(GENERATE_MESSAGE, OVERSIZED_BODY.length + 1);
  t.regex(
    (await sendRaw(session, 'Generate', type, oversizedEnvelope)).text,
    /readMaxBytes 4194304/,
  );
  const unexpected = received.items.filter(({ kind }) => kind !== 'reader-disconnected');
  t.deepEqual(unexpected, []);
  void sendRaw(session, 'Call', 'application/proto', CALL_MESSAGE).catch(() => undefined);
  t.like(await received.take(), { kind: 'call-requested' });
});

// Guards against a fence of an unknown format that is answered as if it had been applied.
test('a fence or cancel of a later format is refused with an error that names it', async (t) => {
  const { url, received } = await startEndpointSide(t);
  const session = connect(url);
  t.teardown(() => {
    session.destroy();
  });
  const later = toBinary(FenceRequestSchema, create(FenceRequestSchema, { format: 2 }));
  for (const path of ['Fence', 'Cancel']) {
    const answer = await sendRaw(session, path, 'application/proto', later);
    t.is(answer.status, 400);
    t.regex(answer.text, /message format 2 is unknown; this process reads 1/);
  }
  t.deepEqual(received.items, []);
});

const ENDPOINT_IDENTITY = {
  endpoint: 'e',
  instance: 'i',
  dataCentre: 'd',
  incarnation: INCARNATION,
  model: 'm',
  version: 'v1',
  service: '',
  rpcUrl: 'r',
  httpUrl: 'h',
};

const HEARTBEAT_CONTENT = {
  sequence: 7,
  engineStart: 's',
  phase: 'serving',
  limit: 1,
  load: {
    startId: 's',
    running: 0,
    waiting: 0,
    memoryUsedTokens: 0,
    memoryTotalTokens: 1,
    tokensPerSecond: 0,
    preemptions: 0,
    ageMs: 0,
  },
  prefixes: [],
  prefixAgeMs: 0,
  prefixGaps: 0,
  evidence: [],
  configurationOffset: 0,
} as const;

// Guards against a record with invalid JSON that makes every heartbeat answer unreadable, so that
// the leases of all endpoint daemons expire and they refuse new work.
test('a record with invalid JSON reaches the endpoint daemon with the others', async (t) => {
  const heartbeats = createInbox<readonly [string, ReceivedHeartbeat]>();
  const server = createHeartbeatServer((id, heartbeat) => {
    heartbeats.push([id, heartbeat]);
    return 'queued';
  });
  const url = await server.listen('127.0.0.1', 0);
  t.teardown(() => server.close());
  const answers = createInbox<EndpointEvent>();
  const client = createEntryClient(() => ENDPOINT_IDENTITY, 5_000, answers.push);
  t.teardown(client.close);
  client.sendHeartbeat('entry', url, HEARTBEAT_CONTENT);
  const [id] = await heartbeats.take();
  // A body of undefined is sent as an empty string, which is not valid JSON.
  const bodies = [{ a: 1 }, undefined, { b: 2 }];
  const records = bodies.map((body, offset) => ({ offset, at: 0, body }));
  server.replyHeartbeat(id, { watermark: 3, records, snapshot: null, leaseMs: 9 });
  t.like(await answers.take(), {
    kind: 'acknowledged',
    sequence: 7,
    answer: { watermark: 3, records, leaseMs: 9 },
  });
});

// Guards against a heartbeat whose URL is none: the call of the endpoint daemon there was an
// unhandled rejection, which ended the entry daemon.
test('a call to an endpoint daemon without a valid URL fails as not-run', async (t) => {
  const { client, completed } = startEntrySide(t);
  for (const url of ['', 'nonsense', 'http://[', 'http://a b/', '\0', 'http://127.0.0.1:99999']) {
    client.callEndpoint(buildCall(url, SMALL_BODY));
    const failure = { verdict: 'not-run', code: 'endpoint-lost' };
    t.like(await completed.take(), { kind: 'call-failed', failure }, url);
    client.openGeneration(buildGeneration(url, SMALL_BODY));
    t.like(await completed.take(), { kind: 'link-lost', sent: 'unsent' }, url);
    const nonce = createId();
    client.fenceNonce({ url, requestId: createId(), nonce, incarnation: INCARNATION });
    const result = { kind: 'unreachable' };
    t.like(await completed.take(), { kind: 'fence-answered', nonce, result }, url);
    client.cancelGeneration(url, createId(), INCARNATION);
  }
});
