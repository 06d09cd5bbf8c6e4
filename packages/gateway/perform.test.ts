import test from 'ava';
import type { GatewayEffect } from './effects.js';
import type { GatewayEvent } from './events.js';
import { performEffect } from './perform.js';
import type { GatewayAdapters } from './perform.js';
import { buildOrder } from './endpoints/endpointClient.fixture.js';
import type { AnswerHead } from './types.js';

const ADDRESS = { host: '127.0.0.1', port: 9 };

const failLater = (): Promise<never> => Promise.reject(new Error('a defect'));

const fail = (): never => {
  throw new Error('a defect');
};

/** Adapters of which each call fails; `posted` and `recorded` collect what reaches the loop. */
const createFailingAdapters = () => {
  const posted: GatewayEvent[] = [];
  const recorded: string[] = [];
  const broken: number[] = [];
  const adapters = {
    loop: () => ({
      post: (event: GatewayEvent) => {
        posted.push(event);
        return 'queued';
      },
      schedule: (_delay: number, event: GatewayEvent) => {
        posted.push(event);
      },
    }),
    events: {
      record: (name: string) => {
        recorded.push(name);
      },
    },
    responders: {
      startAnswer: fail,
      sendWhole: fail,
      refuse: fail,
      breakAnswer: (key: number) => {
        broken.push(key);
      },
    },
    callers: { applyLimits: fail },
    connections: { recordAttempt: () => undefined },
    endpoints: { open: fail, probe: failLater },
    feeds: { load: failLater, read: failLater },
    engines: {
      readReport: failLater,
      transfer: failLater,
      stopRun: failLater,
      releaseCopy: failLater,
    },
    quarantines: { load: failLater, save: failLater, remove: failLater },
  } as unknown as GatewayAdapters;
  return { adapters, posted, recorded, broken };
};

const ENDPOINT = { id: 'e-1', service: 'svc', startedAt: 1, address: ADDRESS };

const ORDER = { requestId: 'r-1', source: ADDRESS, target: ADDRESS, mode: 'stop' } as const;

const PENDING_EFFECTS: readonly GatewayEffect[] = [
  { kind: 'load-feed', feed: 'operator' },
  { kind: 'read-feed', feed: 'registrations', position: { epoch: 1, offset: 1 }, waitMs: 1 },
  { kind: 'read-report', endpoint: ENDPOINT },
  {
    kind: 'start-transfer',
    key: 1,
    attempt: 1,
    source: ENDPOINT,
    order: ORDER,
  },
  { kind: 'stop-run', key: 1, attempt: 1, source: ENDPOINT, order: ORDER },
  { kind: 'release-copy', source: ENDPOINT, handle: 'h' },
  { kind: 'load-quarantines' },
  { kind: 'save-quarantine', record: { fingerprint: 'f', crashes: [] } },
  { kind: 'remove-quarantines', fingerprints: ['f'] },
  { kind: 'probe-endpoint', key: 1, attempt: 1, address: ADDRESS },
];

// Guards against an adapter that rejects: the unhandled rejection ended the process, and a feed or a
// request that waits for its result would wait without end.
test('a rejection of an adapter counts as a failure', async (t) => {
  const { adapters, posted, recorded } = createFailingAdapters();
  for (const effect of PENDING_EFFECTS) performEffect(effect, adapters);
  await new Promise(setImmediate);
  t.is(recorded.filter((name) => name === 'effect-failed').length, PENDING_EFFECTS.length);
  t.deepEqual(
    posted.map((event) => ('result' in event ? { kind: event.kind, result: event.result } : event)),
    [
      { kind: 'feed-answered', result: { kind: 'failed', message: 'a defect', triedMs: 0 } },
      { kind: 'feed-answered', result: { kind: 'failed', message: 'a defect', triedMs: 0 } },
      { kind: 'transfer-ended', result: { kind: 'failed', message: 'a defect' } },
      { kind: 'run-stop-answered', result: { kind: 'failed', message: 'a defect' } },
      { kind: 'quarantines-loaded', result: { kind: 'failed', message: 'a defect' } },
      { to: 'quarantine', kind: 'save-due', fingerprint: 'f' },
      { kind: 'endpoint-probed', result: 'silent' },
    ],
  );
});

// Guards against the word of an endpoint that is lost because it came with the answer to a control call.
test('what an engine says with the answer to a control call is posted', async (t) => {
  const { adapters, posted } = createFailingAdapters();
  const statements = [{ kind: 'leaving' }] as const;
  const succeed = () => Promise.resolve({ value: null, statements });
  const readReport = () => Promise.resolve({ value: { kind: 'unanswered' }, statements });
  const engines = {
    readReport,
    transfer: succeed,
    stopRun: succeed,
    releaseCopy: succeed,
  };
  const effects: readonly GatewayEffect[] = [
    { kind: 'read-report', endpoint: ENDPOINT },
    { kind: 'check-run', key: 1, attempt: 1, requestId: 'r-1', endpoint: ENDPOINT },
    { kind: 'stop-run', key: 1, attempt: 1, source: ENDPOINT, order: ORDER },
    { kind: 'release-copy', source: ENDPOINT, handle: 'h' },
    { kind: 'start-transfer', key: 1, attempt: 1, source: ENDPOINT, order: ORDER },
  ];
  for (const effect of effects) {
    performEffect(effect, { ...adapters, engines } as unknown as GatewayAdapters);
  }
  await new Promise(setImmediate);
  const answered = posted.filter(({ kind }) => kind === 'endpoint-answered');
  t.is(answered.length, effects.length);
  for (const event of answered) t.like(event, { endpoint: ENDPOINT, request: null, statements });
});

const HEAD = { status: 200, headers: [] } as unknown as AnswerHead;

// Guards against an exception of one request that ends the daemon with all other requests, or that
// leaves its caller without an end.
test('an exception of an effect for one request ends that request only', (t) => {
  const effects: readonly GatewayEffect[] = [
    { kind: 'open-attempt', order: buildOrder(9) },
    { kind: 'start-answer', key: 1, head: HEAD },
    { kind: 'send-whole', key: 1, head: HEAD, body: [] },
  ];
  for (const effect of effects) {
    const { adapters, broken, posted, recorded } = createFailingAdapters();
    t.notThrows(() => {
      performEffect(effect, adapters);
    });
    t.deepEqual(broken, [1]);
    t.deepEqual(posted, [{ to: 'requests', kind: 'caller-disconnected', key: 1 }]);
    t.deepEqual(recorded, ['effect-failed']);
  }
});

// Guards against a defect of the daemon itself that is hidden.
test('an exception of another effect ends the daemon', (t) => {
  const { adapters } = createFailingAdapters();
  const limits = { idleTimeoutMs: 1, headerTimeoutMs: 1, maxBodyBytes: 1 };
  t.throws(() => {
    performEffect({ kind: 'apply-limits', ...limits }, adapters);
  });
});
