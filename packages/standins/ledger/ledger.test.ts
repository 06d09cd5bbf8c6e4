import test from 'ava';
import { startLedgerStandin } from './startLedgerStandin.js';

const startClient = async () => {
  const ledger = await startLedgerStandin({ callMs: 0 });
  const post = async (url: string, body: unknown, headers: Record<string, string> = {}) => {
    const response = await fetch(url, {
      method: 'POST',
      headers: { 'content-type': 'application/json', ...headers },
      body: JSON.stringify(body),
    });
    return response.status;
  };
  const get = async (url: string): Promise<unknown> => (await fetch(url)).json();
  return {
    ledger,
    get,
    post: (path: string, body: unknown, headers?: Record<string, string>) =>
      post(`${ledger.url}${path}`, body, headers),
    applyFault: (fault: unknown) => post(`${ledger.inspectionUrl}/faults`, fault),
    countExecutions: async (key: string) =>
      ((await get(`${ledger.inspectionUrl}/executions?key=${key}`)) as { count: number }).count,
    readStartId: async () => ((await get(`${ledger.url}/health`)) as { startId: string }).startId,
  };
};

// Guards against a stand-in that deduplicates calls and so hides a duplicate execution.
test('each call runs, even with a key that has already run', async (t) => {
  const client = await startClient();
  t.teardown(client.ledger.close);
  t.is(await client.post('/sweeps', { key: 'k1', amount: 5 }), 201);
  t.is(await client.post('/credits', { key: 'other' }, { 'idempotency-key': 'k1' }), 201);
  t.is(await client.countExecutions('k1'), 2);
  t.is(await client.countExecutions('other'), 0);
  const balance = await client.get(`${client.ledger.url}/balances/acme`);
  t.deepEqual(balance, await client.get(`${client.ledger.url}/balances/acme`));
});

// Guards against a fault that acts before the effect instead of after it, or the reverse.
test('fail-before prevents the effect and drop-answer keeps it', async (t) => {
  const client = await startClient();
  t.teardown(client.ledger.close);
  await client.applyFault({ kind: 'fail-before' });
  t.is(await client.post('/pickups', { key: 'failed' }), 500);
  t.is(await client.countExecutions('failed'), 0);
  await client.applyFault({ kind: 'drop-answer' });
  await t.throwsAsync(client.post('/pickups', { key: 'dropped' }));
  t.is(await client.countExecutions('dropped'), 1);
  t.is(await client.post('/pickups', { key: 'after' }), 201);
});

// Guards against calls that a process received before its crash and that still run afterwards.
test('a crash drops the calls in flight and changes the start identity', async (t) => {
  const client = await startClient();
  t.teardown(client.ledger.close);
  const before = await client.readStartId();
  await client.applyFault({ kind: 'delay-before', delayMs: 60_000 });
  const call = client.post('/sweeps', { key: 'cut' });
  while (
    ((await client.get(`${client.ledger.inspectionUrl}/standin/stats`)) as { calls: number })
      .calls < 1
  );
  await client.applyFault({ kind: 'crash', downMs: 0 });
  await t.throwsAsync(call);
  t.is(await client.countExecutions('cut'), 0);
  t.not(await client.readStartId(), before);
});
