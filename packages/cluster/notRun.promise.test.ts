import test from 'ava';
import { sendCall } from './callers/callClient.js';
import { countExecutions } from './callers/standinClient.js';
import type { CallerTarget, ServiceCall } from './callers/types.js';
import { startCluster } from './startCluster.js';
import { buildCallerTarget, fetchStats, getInspectionUrl } from './testing.js';
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
  /** Pattern of the problem's `detail`. */
  readonly detail: RegExp;
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
  const expiredKeyHeaders = { 'idempotency-key-issued-at': '2001-01-01T00:00:00Z' };
  return [
    {
      name: 'malformed JSON',
      status: 400,
      code: 'bad-request',
      detail: /^body: malformed JSON at offset 10/,
      call: { ...chat, body: '{"model": ' },
    },
    {
      name: 'no messages',
      status: 400,
      code: 'bad-request',
      detail: /^body: field "messages"/,
      call: { ...chat, body: buildChat({ messages: [] }) },
    },
    {
      name: 'body over the limit',
      status: 413,
      code: 'too-large',
      detail: /^body: it is larger than 4096 bytes/,
      call: { ...chat, body: largeBody },
    },
    {
      name: 'sweep over the limit',
      status: 413,
      code: 'too-large',
      detail: /^body: it is larger than 4096 bytes/,
      call: { ...sweep, idempotencyKey: 'refused', body: { note: large } },
    },
    {
      name: 'unknown class',
      status: 400,
      code: 'unknown-class',
      detail: /^X-Chestnutspan-Class: no class is called no-such-class/,
      call: { ...chat, body: buildChat(), headers: { 'x-chestnutspan-class': 'no-such-class' } },
    },
    {
      name: 'unknown model',
      status: 404,
      code: 'unknown-model',
      detail: /^body: field "model": no model is called no-such-model/,
      call: { ...chat, body: buildChat({ model: 'no-such-model' }) },
    },
    {
      name: 'wrong key',
      status: 401,
      code: 'unauthorized',
      detail: /^Authorization: /,
      call: { ...chat, body: buildChat() },
      key: 'wrong',
    },
    {
      name: 'sweep with a wrong key',
      status: 401,
      code: 'unauthorized',
      detail: /^Authorization: /,
      call: { ...sweep, idempotencyKey: 'refused', body: {} },
      key: 'wrong',
    },
    {
      name: 'unknown service',
      status: 404,
      code: 'unknown-service',
      detail: /no-such-service/,
      call: { ...sweep, path: '/services/no-such-service/sweeps', body: {} },
    },
    {
      name: 'expired idempotency key',
      status: 400,
      code: 'key-expired',
      detail: /^the key was issued before/,
      call: { ...sweep, idempotencyKey: 'refused', body: {}, headers: expiredKeyHeaders },
    },
    {
      name: 'empty idempotency key',
      status: 400,
      code: 'bad-request',
      detail: /^Idempotency-Key is empty/,
      call: { ...sweep, idempotencyKey: '', body: {} },
    },
    {
      name: 'wrong operator key',
      status: 401,
      code: 'unauthorized',
      detail: /^Authorization: the operator key/,
      call: {
        method: 'POST',
        path: '/operator/records',
        body: { kind: 'data-centre', entity: 'dc-a', basedOn: null, body: { state: 'out' } },
      },
    },
  ];
};

// Guards against errors that do not say whether the request ran, and against refused requests that
// run nevertheless.
test.serial('bad input is refused as not-run, with its code, and nothing runs', async (t) => {
  const engineUrl = Object.values(cluster.standinUrls.engines)[0] ?? '';
  const caller: CallerTarget = buildCallerTarget(cluster);
  for (const { name, status, code, detail, call, key } of listBadInputs()) {
    const answer = await sendCall({ ...caller, key: key ?? caller.key }, call);
    t.is(answer.status, status, `${name}: ${answer.text}`);
    t.regex(answer.type, /^application\/problem\+json/, name);
    t.like(answer.json, { verdict: 'not-run', code, status }, name);
    const { detail: text, requestId } = answer.json as Readonly<Record<string, unknown>>;
    t.regex(String(text), detail, name);
    t.is(requestId, answer.requestId, name);
    t.not(requestId, '', name);
  }
  // A ticket refers to a generation that was started, so its refusal must not claim `not-run`.
  const resume = { method: 'POST', path: '/v1/chat/completions', body: buildChat() } as const;
  const resumed = await sendCall(caller, { ...resume, headers: { 'last-event-id': 'nonsense' } });
  t.like(resumed.json, { verdict: 'may-have-run', code: 'bad-request', status: 400 });
  t.regex(resumed.text, /Last-Event-ID is malformed/);
  const { tokens = -1 } = await fetchStats(engineUrl);
  t.is(tokens, 0);
  t.is(await countExecutions(getInspectionUrl(cluster), 'refused'), 0);
});

// Guards against a request id that differs between the caller's log and that of the entry daemon.
test.serial('an answer carries the request id of the caller', async (t) => {
  const call: ServiceCall = {
    method: 'GET',
    path: '/services/ledger/balances/caroni',
    headers: { 'x-request-id': 'request-of-the-caller' },
  };
  const answer = await sendCall(buildCallerTarget(cluster), call);
  t.is(answer.status, 200, answer.text);
  t.is(answer.requestId, 'request-of-the-caller');
});
