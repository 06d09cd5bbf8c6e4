import test from 'ava';
import { createId } from '../core/ids.js';
import { createMemoryAccount } from '../core/memory/memoryAccount.js';
import { issueFirstPermit } from '../decisions/retries/permit.fixture.js';
import { createRpcServer } from '../endpoint/rpc/rpcServer.js';
import { createEndpointClient } from '../entry/requests/endpointClient.js';
import type { EndpointCompletion } from '../entry/requests/endpointMessages.js';
import { CONNECTION_OVERHEAD_BYTES, MAX_INPUT_BYTES } from '../wire/constants.js';

const REQUEST = {
  incarnation: createId(),
  customer: 'caroni',
  className: 'standard',
  importance: 'standard',
  nonce: null,
  fingerprint: 'f',
  body: new Uint8Array(8),
} as const;

// Guards against a refusal for lack of memory that the caller is told may have run, and against a
// connection that is given up for it.
test('a call that an endpoint daemon refuses for lack of memory did not run', async (t) => {
  let received = 0;
  const memory = {
    calls: createMemoryAccount(0),
    connections: createMemoryAccount(2 * CONNECTION_OVERHEAD_BYTES),
    input: createMemoryAccount(2 * MAX_INPUT_BYTES),
  };
  const post = (): 'queued' => {
    received += 1;
    return 'queued';
  };
  const server = createRpcServer(createId(), Date.now, post, memory);
  const url = await server.listen('127.0.0.1', 0);
  t.teardown(() => server.close());
  let complete: (completion: EndpointCompletion) => void = () => undefined;
  const client = createEndpointClient(
    'entry',
    () => 0,
    (completion) => {
      complete(completion);
    },
  );
  t.teardown(client.close);
  const waitForCompletion = (start: () => void): Promise<EndpointCompletion> =>
    new Promise((resolve) => {
      complete = resolve;
      start();
    });
  const fields = { ...REQUEST, url, permit: issueFirstPermit(60_000) };
  for (let tries = 0; tries < 5; tries += 1) {
    const requestId = createId();
    const call = await waitForCompletion(() => {
      const service = { service: 'ledger', method: 'GET', path: '/x', headers: [], key: null };
      client.callEndpoint({ ...fields, ...service, requestId });
    });
    t.like(call, { kind: 'call-failed', failure: { verdict: 'not-run', code: 'endpoint-lost' } });
    const link = await waitForCompletion(() => {
      const stream = { link: 0, mode: 'start', fromNumber: 0, route: 'chat' } as const;
      const generationId = createId();
      client.openGeneration({ ...fields, ...stream, requestId, generationId, promptTokens: 1 });
    });
    t.like(link, { kind: 'link-lost', sent: 'unsent' });
  }
  t.is(received, 0);
  t.is(memory.connections.getReserved(), CONNECTION_OVERHEAD_BYTES);
});
