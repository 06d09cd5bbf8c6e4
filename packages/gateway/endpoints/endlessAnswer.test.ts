import test from 'ava';
import type { ExecutionContext } from 'ava';
import { buildOrder, createTestClient } from './endpointClient.fixture.js';
import {
  CHUNKED_HEAD,
  ENDLESS_HEADS,
  MAX_BYTES,
  startEndlessServer,
} from './endlessServer.fixture.js';
import type { RequestsEvent } from '../events.js';

/** Answers one attempt without end; resolves to the posted events once the client closes. */
const runEndless = async (t: ExecutionContext, head: string, piece: string) => {
  const events: RequestsEvent[] = [];
  const server = await startEndlessServer(t, head, piece);
  const client = createTestClient((event) => {
    events.push(event);
    if (event.kind === 'attempt-connected') client.send(event.key, event.attempt, 1_000);
  });
  client.open(buildOrder(server.port));
  return { events, bytes: await server.taken };
};

// Guards against an answer whose head never ends: it fills the memory or the processor time of the
// daemon until the deadline.
for (const [name, head, piece] of ENDLESS_HEADS) {
  test(`an answer with ${name} without end is cut`, async (t) => {
    const { bytes, events } = await runEndless(t, head, piece);
    t.true(bytes < MAX_BYTES, bytes.toString());
    t.is(events.at(-1)?.kind, 'attempt-failed');
  });
}

/** Largest sum of the bytes of answers in a turn of the event loop, with the last read of the turn. */
const MAX_TURN_BYTES = (256 + 64) * 1024;

/** Chunk of a body, as an endpoint sends them without end. */
const CHUNK = `1000\r\n${'x'.repeat(0x1000)}\r\n`;

// Guards against endpoints that send as fast as they can: the daemon reads nothing else meanwhile.
test('a turn of the event loop reads a part of the answers', async (t) => {
  const server = await startEndlessServer(t, CHUNKED_HEAD, CHUNK);
  let turnBytes = 0;
  let mostBytes = 0;
  let total = 0;
  const client = createTestClient((event) => {
    if (event.kind === 'attempt-connected') client.send(event.key, event.attempt, 60_000);
    if (event.kind === 'answer-continued') {
      turnBytes += event.bytes.length;
      total += event.bytes.length;
    }
  });
  t.teardown(client.close);
  const order = buildOrder(server.port);
  for (let attempt = 1; attempt <= 8; attempt += 1) client.open({ ...order, attempt });
  while (total < MAX_BYTES) {
    turnBytes = 0;
    await new Promise(setImmediate);
    mostBytes = Math.max(mostBytes, turnBytes);
  }
  t.true(mostBytes <= MAX_TURN_BYTES, mostBytes.toString());
});
