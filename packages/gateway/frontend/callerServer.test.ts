import test from 'ava';
import { createCallerServer } from './callerServer.js';
import { createTestConnections } from './callerServer.fixture.js';
import { createResponders } from './responders.js';
import { createMemoryAccount } from '../../core/memory/memoryAccount.js';
import { CODEC } from '../endpoints/endpointClient.fixture.js';

const HOST = '127.0.0.1';

/** Below the ports of outgoing connections, and of this process only. */
const PORT = 10_000 + (process.pid % 1_000);

// Guards against an unexpected error of one request that ends the process as an unhandled rejection,
// or leaves its caller without an end.
test('an unexpected error ends one request and is reported', async (t) => {
  const faults: unknown[] = [];
  const connections = createTestConnections();
  const memory = createMemoryAccount(100_000);
  const callers = createCallerServer({
    // Decodes no caller: it throws.
    codec: CODEC,
    clock: { now: () => 0 },
    connections,
    memory: { bodies: memory, requests: memory },
    responders: createResponders(connections, () => undefined, memory),
    postArrival: () => 'queued',
    postDisconnect: () => undefined,
    onFault: (error) => {
      faults.push(error);
    },
  });
  await callers.listen({ host: HOST, port: PORT });
  t.teardown(() => {
    callers.closeIdle();
    callers.close();
  });
  const url = `http://${HOST}:${PORT.toString()}/`;
  await t.throwsAsync(fetch(url));
  await t.throwsAsync(fetch(url));
  t.is(faults.length, 2);
});
