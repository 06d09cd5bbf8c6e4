import test from 'ava';
import type { ExecutionContext } from 'ava';
import { buildOrder, createTestClient } from './endpointClient.fixture.js';
import { ENDLESS_HEADS, MAX_BYTES, startEndlessServer } from './endlessServer.fixture.js';
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
