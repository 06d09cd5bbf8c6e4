import test from 'ava';
import { createCallerServer } from './callerServer.js';
import { createTestConnections, formatRequest, startCallerServer } from './callerServer.fixture.js';
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
    memory: { bodies: memory, requests: memory, connections: memory, unparsed: memory },
    maxConnections: 10,
    responders: createResponders(connections, () => undefined, memory),
    isLate: () => false,
    isRefused: () => false,
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

// Guards against requests that a daemon passes on after a pause although their callers have left: it
// reads the request and the end of the connection at the same time (GONE).
test('a late daemon does not pass on the request of a caller that has left', async (t) => {
  const harness = await startCallerServer(t);
  harness.setLate();
  const gone = harness.openCaller();
  gone.socket.end(formatRequest('gone', 'body'));
  await gone.waitForClose();
  const present = harness.openCaller();
  present.send(formatRequest('present', 'body'));
  await harness.waitForRequest('present');
  t.deepEqual(harness.listArrivals(), ['present']);
});

// Guards against a request that is answered because the state of all requests was lost, and runs after it.
test('a request that was refused while it was being accepted is not passed on', async (t) => {
  const harness = await startCallerServer(t);
  harness.setLate();
  const caller = harness.openCaller();
  caller.send(formatRequest('r-1'));
  while (harness.responders.count() === 0) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
  harness.perform({ kind: 'reset-requests' });
  await caller.waitForText('500');
  caller.send(formatRequest('r-2'));
  await harness.waitForRequest('r-2');
  t.deepEqual(harness.listArrivals(), ['r-2']);
});
