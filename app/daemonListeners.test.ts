import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import {
  CALL,
  FRAMES,
  GENERATE,
  HEARTBEAT,
  buildCallHead,
  buildPreface,
  listStreams,
  sendTwelve,
  splitMessage,
  startLimitedDaemon,
  writeToAll,
} from './listenerPlays.fixture.js';
import type { DaemonKind, ListenerAddress } from './listenerPlays.fixture.js';

/** Memory that the settings of the daemons state, in MB. */
const MAX_MEGABYTES = 200;
const MEMORY_BYTES = MAX_MEGABYTES * 1024 * 1024;

/** Time for which the connections of the mixture stay open. */
const MIX_MS = 3_000;

interface Play {
  readonly title: string;
  readonly daemon: DaemonKind;
  readonly listener: string;
  readonly connections: number;
  readonly buildBytes: () => Buffer;
}

/** Path and content type of a call. */
type CallKind = readonly [string, string];

const RPC_CALLS: Readonly<Record<DaemonKind, CallKind>> = {
  entry: HEARTBEAT,
  endpoint: GENERATE,
};

/** Empty messages in a repeated field of a heartbeat, and of a call: two bytes each. */
const EMPTY_MESSAGES: Readonly<Record<DaemonKind, { head: CallKind; message: Buffer }>> = {
  entry: { head: HEARTBEAT, message: Buffer.alloc(4_000_000, Buffer.from([0x6a, 0x00])) },
  endpoint: { head: CALL, message: Buffer.alloc(4_000_000, Buffer.from([0x3a, 0x00])) },
};

const buildRpcPlays = (daemon: DaemonKind): readonly Play[] => {
  const call = RPC_CALLS[daemon];
  const { head, message } = EMPTY_MESSAGES[daemon];
  const shared = { daemon, listener: 'rpc' } as const;
  return [
    {
      ...shared,
      title: '20,000 calls without a message',
      connections: 10,
      buildBytes: () =>
        buildPreface(listStreams(2_000).map((stream) => buildCallHead(stream, ...call))),
    },
    {
      ...shared,
      title: '100,000 calls that are reset at once',
      connections: 20,
      buildBytes: () =>
        buildPreface(
          listStreams(5_000).flatMap((stream) => [
            buildCallHead(stream, ...call),
            FRAMES.reset(stream),
          ]),
        ),
    },
    {
      ...shared,
      title: 'messages of 4 MB of empty messages',
      connections: 4,
      buildBytes: () => buildPreface([buildCallHead(1, ...head), ...splitMessage(1, message)]),
    },
    {
      ...shared,
      title: '10,000 messages of 64 KB without an end',
      connections: 100,
      buildBytes: () =>
        buildPreface(
          listStreams(100).flatMap((stream) => [
            buildCallHead(stream, ...head),
            ...splitMessage(stream, Buffer.alloc(64_000)).slice(0, -1),
          ]),
        ),
    },
    {
      ...shared,
      title: '3,000 connections without calls',
      connections: 3_000,
      buildBytes: () => buildPreface([]),
    },
    {
      ...shared,
      title: '4,000,000 pings whose answers are not read',
      connections: 20,
      buildBytes: () => buildPreface(Array<Buffer>(200_000).fill(FRAMES.ping)),
    },
    {
      ...shared,
      title: '4,000,000 settings whose answers are not read',
      connections: 20,
      buildBytes: () => buildPreface(Array<Buffer>(200_000).fill(FRAMES.settings)),
    },
  ];
};

const KEY = 'Bearer example-customer-key';

const PAGES = {
  entry: {
    listener: 'callers',
    path: '/v1/models',
    headers: { authorization: KEY },
  },
  endpoint: { listener: 'http', path: '/healthz', headers: {} },
} as const;

const buildGet = (path: string, fields = ''): Buffer =>
  Buffer.from(`GET ${path} HTTP/1.1\r\nhost: a\r\n${fields}\r\n`);

const repeatBytes = (bytes: Buffer, count: number): Buffer =>
  Buffer.concat(Array<Buffer>(count).fill(bytes));

const PARTIAL_HEAD = `GET / HTTP/1.1\r\n${`x-a: ${'y'.repeat(90)}\r\n`.repeat(155)}`;

const buildPagePlays = (daemon: DaemonKind): readonly Play[] => {
  const shared = { daemon, listener: PAGES[daemon].listener } as const;
  return [
    {
      ...shared,
      title: '400,000 requests that are written at once, and whose answers are not read',
      connections: 200,
      buildBytes: () => repeatBytes(buildGet('/healthz'), 2_000),
    },
    {
      ...shared,
      title: '50,000 requests that are written at once',
      connections: 100,
      buildBytes: () => repeatBytes(buildGet('/healthz'), 500),
    },
    {
      ...shared,
      title: '10,000 requests for all events, whose answers are not read',
      connections: 50,
      buildBytes: () => repeatBytes(buildGet('/debug/events'), 200),
    },
    {
      ...shared,
      title: '10,000 requests for the metrics, whose answers are not read',
      connections: 50,
      buildBytes: () => repeatBytes(buildGet('/metrics'), 200),
    },
    {
      ...shared,
      title: '7,500 heads of 15 KB without an end',
      connections: 7_500,
      buildBytes: () => Buffer.from(PARTIAL_HEAD),
    },
    {
      ...shared,
      title: '3,000 connections without requests',
      connections: 3_000,
      buildBytes: () => Buffer.alloc(0),
    },
  ];
};

const SERVICE_CALL = buildGet('/services/ledger/balances/x', `authorization: ${KEY}\r\n`);

const CALLER_PLAYS: readonly Play[] = [
  {
    daemon: 'entry',
    listener: 'callers',
    title: '50,000 service calls with a key that are written at once',
    connections: 100,
    buildBytes: () => repeatBytes(SERVICE_CALL, 500),
  },
  {
    daemon: 'entry',
    listener: 'callers',
    title: '10,000 service calls with a key, whose answers are not read',
    connections: 20,
    buildBytes: () => repeatBytes(SERVICE_CALL, 500),
  },
  {
    daemon: 'entry',
    listener: 'callers',
    title: '500 bodies in chunks without an end, without a key',
    connections: 500,
    buildBytes: () =>
      Buffer.concat([
        Buffer.from(
          'POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n',
        ),
        repeatBytes(Buffer.from(`400\r\n${'a'.repeat(0x400)}\r\n`), 500),
      ]),
  },
];

/** Holders that the request for the metrics itself fills. */
const HELD_BY_METRICS: readonly string[] = [
  'requests',
  'caller-connections',
  'page-requests',
  'page-connections',
];

/** Memory of the request for the metrics and of its kept connections. */
const MAX_OWN_BYTES = 160 * 1024;

const RELEASE_MS = 20_000;
const POLL_MS = 100;

/** Waits until nothing is reserved; returns the holders that are left after a time. */
const waitForRelease = async (
  { host, port }: ListenerAddress,
  daemon: DaemonKind,
): Promise<readonly string[]> => {
  const pattern = new RegExp(`${daemon}_memory_reserved_bytes{holder="(.*)"} (\\d+)`, 'g');
  for (const until = Date.now() + RELEASE_MS; ; await sleep(POLL_MS)) {
    const page = await fetch(`http://${host}:${port.toString()}/metrics`);
    const held = [...(await page.text()).matchAll(pattern)];
    if (held.length === 0) return ['no holder is shown'];
    const left = held.filter(([, holder = '', bytes]) => {
      const own = HELD_BY_METRICS.includes(holder) ? MAX_OWN_BYTES : 0;
      return Number(bytes) > own;
    });
    if (left.length === 0 || Date.now() > until) return left.map(([text]) => text);
  }
};

const PLAYS: readonly Play[] = [
  ...CALLER_PLAYS,
  ...(['entry', 'endpoint'] as const).flatMap(buildPagePlays),
  ...(['entry', 'endpoint'] as const).flatMap(buildRpcPlays),
];

// Guards against a stranger whose input becomes objects before anyone has asked for room: most of these
// ended a daemon with a heap of 90 MB, and some took over 400 MB before.
for (const { buildBytes, connections, daemon, listener, title } of PLAYS)
  test.serial(`the ${daemon} daemon at ${listener} outlives ${title}`, async (t) => {
    const running = await startLimitedDaemon(daemon, MEMORY_BYTES);
    t.teardown(running.stop);
    const reading = title.endsWith('not read') ? 'unread' : 'read';
    const sockets = await writeToAll(running.getAddress(listener), {
      bytes: buildBytes(),
      count: connections,
      reading,
    });
    const page = PAGES[daemon];
    const address = running.getAddress(page.listener);
    // While the connections are open, and after they have closed.
    for (const phase of ['open', 'closed'] as const) {
      if (phase === 'closed') for (const socket of sockets) socket.destroy();
      const statuses = await sendTwelve(address, page.path, page.headers);
      t.is(running.getLife(), 'runs', running.getOutput().slice(-2_000));
      t.deepEqual(statuses, Array<number>(12).fill(200), phase);
    }
    t.deepEqual(await waitForRelease(address, daemon), []);
    const peak = running.readPeakMegabytes();
    t.log(`peak ${peak.toString()} MB`);
    t.true(peak <= MAX_MEGABYTES, peak.toString());
  });

/** Each holder is filled by one of them. */
const MIXED = [
  'calls without a message',
  'messages of 64 KB without an end',
  'that are reset at once',
  'requests that are written at once, and',
  'service calls with a key that are written at once',
  'heads of 15 KB without an end',
];

// Guards against limits that hold one after another, but whose sum exceeds the memory.
for (const daemon of ['entry', 'endpoint'] as const)
  test.serial(`the ${daemon} daemon outlives floods at both listeners at once`, async (t) => {
    const running = await startLimitedDaemon(daemon, MEMORY_BYTES);
    t.teardown(running.stop);
    const plays = PLAYS.filter(
      (play) => play.daemon === daemon && MIXED.some((text) => play.title.includes(text)),
    );
    t.true(plays.length >= MIXED.length - 1);
    const opened = await Promise.all(
      plays.map(({ buildBytes, connections: count, listener }) =>
        writeToAll(running.getAddress(listener), { bytes: buildBytes(), count, reading: 'unread' }),
      ),
    );
    const page = PAGES[daemon];
    const address = running.getAddress(page.listener);
    await sleep(MIX_MS);
    for (const socket of opened.flat()) socket.destroy();
    t.deepEqual(await waitForRelease(address, daemon), []);
    const statuses = await sendTwelve(address, page.path, page.headers);
    t.deepEqual(statuses, Array<number>(12).fill(200));
    t.is(running.getLife(), 'runs');
    const peak = running.readPeakMegabytes();
    t.log(`peak ${peak.toString()} MB`);
    t.true(peak <= MAX_MEGABYTES, peak.toString());
  });

const PIPELINED = 400;

/** Sends requests on one connection at once, and returns the ids of the answers in their order. */
const sendPipelined = (address: ListenerAddress): Promise<readonly string[]> =>
  new Promise((resolve) => {
    let text = '';
    const socket = connect(address);
    const listIds = (): readonly string[] =>
      [...text.matchAll(/x-request-id: (id-\d+)/g)].map(([, id = '']) => id);
    socket.on('error', () => undefined);
    socket.on('data', (bytes: Buffer) => {
      text += bytes.toString();
      if (listIds().length === PIPELINED) socket.destroy();
    });
    socket.on('close', () => {
      resolve(listIds());
    });
    for (let index = 0; index < PIPELINED; index += 1)
      socket.write(
        buildGet('/nothing', `authorization: ${KEY}\r\nx-request-id: id-${index.toString()}\r\n`),
      );
  });

// Guards against a limit that costs an honest caller a request that was read whole, or its place.
test.serial('requests in series are answered whole and in order beside a flood', async (t) => {
  const running = await startLimitedDaemon('entry', MEMORY_BYTES);
  t.teardown(running.stop);
  const address = running.getAddress('callers');
  const flood = { bytes: repeatBytes(SERVICE_CALL, 200), count: 50, reading: 'unread' } as const;
  const sockets = await writeToAll(address, flood);
  const ids = await sendPipelined(address);
  for (const socket of sockets) socket.destroy();
  t.deepEqual(
    ids,
    Array.from({ length: PIPELINED }, (_, index) => `id-${index.toString()}`),
  );
});
