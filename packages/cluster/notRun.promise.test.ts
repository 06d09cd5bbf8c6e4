import test from 'ava';
import { sendCall } from './callers/callClient.js';
import { countExecutions } from './callers/standinPages.js';
import type { CallerTarget, ServiceCall } from './callers/types.js';
import { startCluster } from './startCluster.js';
import { buildCaller, fetchStats, getInspectionUrl } from './testing.js';
import type { Cluster } from './types.js';

const MAX_BODY_BYTES = 4_096;

let cluster: Cluster;

test.before(async () => {
  cluster = await startCluster({ engines: [{}], limits: { maxBodyBytes: MAX_BODY_BYTES } });
});

test.after.always(() => cluster.stop());

interface BadInput {
  readonly name: string;
  readonly status: number;
  readonly code: string;
  readonly call: ServiceCall;
  readonly key?: string;
}

const buildChat = (changes: object = {}) => ({
  model: cluster.model,
  messages: [{ role: 'user', content: 'hello' }],
  ...changes,
});

const listBadInputs = (): readonly BadInput[] => {
  const chat = { method: 'POST', path: '/v1/chat/completions' } as const;
  const sweep = { method: 'POST', path: '/services/ledger/sweeps' } as const;
  const large = 'x'.repeat(MAX_BODY_BYTES + 1);
  const largeBody = buildChat({ messages: [{ role: 'user', content: large }] });
  const oldKey = { 'idempotency-key-issued-at': '2001-01-01T00:00:00Z' };
  return [
    {
      name: 'malformed JSON',
      status: 400,
      code: 'bad-request',
      call: { ...chat, body: '{"model": ' },
    },
    {
      name: 'no messages',
      status: 400,
      code: 'bad-request',
      call: { ...chat, body: buildChat({ messages: [] }) },
    },
    {
      name: 'body over the limit',
      status: 413,
      code: 'too-large',
      call: { ...chat, body: largeBody },
    },
    {
      name: 'sweep over the limit',
      status: 413,
      code: 'too-large',
      call: { ...sweep, idempotencyKey: 'refused', body: { note: large } },
    },
    {
      name: 'unknown class',
      status: 400,
      code: 'unknown-class',
      call: { ...chat, body: buildChat(), headers: { 'x-chestnutspan-class': 'no-such-class' } },
    },
    {
      name: 'unknown model',
      status: 404,
      code: 'unknown-model',
      call: { ...chat, body: buildChat({ model: 'no-such-model' }) },
    },
    {
      name: 'wrong key',
      status: 401,
      code: 'unauthorized',
      call: { ...chat, body: buildChat() },
      key: 'wrong',
    },
    {
      name: 'sweep with a wrong key',
      status: 401,
      code: 'unauthorized',
      call: { ...sweep, idempotencyKey: 'refused', body: {} },
      key: 'wrong',
    },
    {
      name: 'unknown service',
      status: 404,
      code: 'unknown-service',
      call: { ...sweep, path: '/services/no-such-service/sweeps', body: {} },
    },
    {
      name: 'expired idempotency key',
      status: 400,
      code: 'key-expired',
      call: { ...sweep, idempotencyKey: 'refused', body: {}, headers: oldKey },
    },
  ];
};

// Guards against errors that do not say whether the request ran, and against refusals of requests
// that then run all the same.
test.serial('bad input is refused as not-run, with its code, and nothing runs', async (t) => {
  const engineUrl = Object.values(cluster.standinUrls.engines)[0] ?? '';
  const caller: CallerTarget = buildCaller(cluster);
  for (const { name, status, code, call, key } of listBadInputs()) {
    const answer = await sendCall({ ...caller, key: key ?? caller.key }, call);
    t.is(answer.status, status, `${name}: ${answer.text}`);
    t.regex(answer.type, /^application\/problem\+json/, name);
    t.like(answer.json, { verdict: 'not-run', code, status }, name);
    const { detail, requestId } = answer.json as Readonly<Record<string, unknown>>;
    t.is(typeof detail, 'string', name);
    t.is(requestId, answer.requestId, name);
    t.not(requestId, '', name);
  }
  const { tokens = -1 } = await fetchStats(engineUrl);
  t.is(tokens, 0);
  t.is(await countExecutions(getInspectionUrl(cluster), 'refused'), 0);
});

// Guards against a request id that differs between the caller's log and ours.
test.serial('the request id of the caller comes back', async (t) => {
  const call: ServiceCall = {
    method: 'GET',
    path: '/services/ledger/balances/caroni',
    headers: { 'x-request-id': 'request-of-the-caller' },
  };
  const answer = await sendCall(buildCaller(cluster), call);
  t.is(answer.status, 200, answer.text);
  t.is(answer.requestId, 'request-of-the-caller');
});
