import test from 'ava';
import { DEFAULT_INTENT_LIMITS } from './constants.js';
import { createIntentState, decideIntent } from './intent.js';
import type {
  ChainLink,
  ChainState,
  IntentEvent,
  IntentState,
  IntentView,
  LinkStanding,
} from './types.js';
import { createFailure } from '../../core/verdict.js';

const REQUEST = {
  requestId: 'r',
  customer: 'c',
  key: 'k',
  fingerprint: 'f',
  issuedAt: null,
  entry: 'd',
  deadlineAt: 8_000,
};
const VIEW: IntentView = {
  now: 5_000,
  log: 'up',
  standing: 'exact',
  nextOffset: 0,
  chain: undefined,
  keyCounts: { timed: 0, untimed: 0 },
  keys: { keyWindowMs: 1_000, maxUntimedKeys: 10, maxTimedKeys: 10 },
  limits: DEFAULT_INTENT_LIMITS,
};
const PLACE = { endpoint: 'e', incarnation: 'i' };

const buildChain = (nonce: string, standing: LinkStanding, at = 0): ChainState => {
  const link: ChainLink = { nonce, previous: null, ...PLACE, entry: 'd', at, standing };
  const { customer, key, issuedAt, fingerprint } = REQUEST;
  return { customer, key, issuedAt, fingerprint, link, abandonedEarly: [] };
};
const openChain = (nonce: string, at = 0) => buildChain(nonce, { kind: 'open' }, at);

type Input = readonly [IntentEvent, Partial<IntentView>?];

/** Applies events in order and returns the last state's kind and the last event's effects. */
const runEvents = (...inputs: readonly Input[]) => {
  let state: IntentState = createIntentState(REQUEST);
  let effects: readonly string[] = [];
  for (const [event, view] of inputs) {
    const step = decideIntent(state, event, { ...VIEW, ...view });
    state = step.state;
    effects = step.effects.map((effect) => {
      switch (effect.kind) {
        case 'fail':
          return `fail ${effect.failure.verdict} ${effect.failure.code}`;
        case 'append-records':
          return `append ${effect.records.map(({ kind, nonce }) => `${kind} ${nonce}`).join()}`;
        case 'dispatch':
        case 'fence':
          return `${effect.kind} ${effect.nonce}`;
        case 'schedule':
          return `schedule ${effect.timer}`;
        default:
          return effect.kind;
      }
    });
  }
  return [state.kind, ...effects];
};

const START: Input = [{ kind: 'start' }];
const chooseWith = (nonce: string, chain?: ChainState): Input => [
  { kind: 'endpoint-chosen', target: PLACE, nonce },
  { chain },
];
const replyAppend = (nonce: string, kind: 'unknown' | 'rejected', view = {}): Input => [
  { kind: 'append-answered', of: 'intent', nonce, result: { kind, message: '' } },
  view,
];
const buildFolded = (view: Partial<IntentView>): Input => [{ kind: 'folded' }, view];
const replyFence = (
  nonce: string,
  kind: 'fenced' | 'started' | 'unknown-incarnation' | 'unreachable',
  view: Partial<IntentView>,
): Input => [{ kind: 'fence-answered', nonce, result: { kind } }, view];
const ANSWER = { status: 200, headers: [], body: new Uint8Array(), bodyDigest: 'd' };
const replyFinished = (nonce: string, answer: typeof ANSWER | null, chain: ChainState): Input => [
  {
    kind: 'fence-answered',
    nonce,
    result: { kind: 'finished', answer, status: 200, bodyDigest: 'd' },
  },
  { chain },
];
const buildDispatchEnd = (nonce: string, kind: 'refused' | 'unknown'): Input => [
  {
    kind: 'dispatch-ended',
    nonce,
    result: { kind, failure: createFailure('not-run', 'draining', '') },
  },
  { chain: openChain(nonce) },
];
const ACTIVE = [START, chooseWith('a'), buildFolded({ chain: openChain('a') })] as const;
const activeView = { chain: openChain('a') };

// Each row guards against a key that runs twice or a wrong verdict in the named situation.
const CASES: readonly (readonly [string, readonly Input[], readonly string[]])[] = [
  [
    'log down before the append',
    [[START[0], { log: 'out' }]],
    ['finished', 'fail not-run log-unavailable'],
  ],
  [
    'table still catching up',
    [[START[0], { standing: 'catching-up' }]],
    ['finished', 'fail not-run log-unavailable'],
  ],
  [
    'append rejected by the log',
    [START, chooseWith('a'), replyAppend('a', 'rejected')],
    ['finished', 'fail not-run log-unavailable'],
  ],
  [
    'unresolved append is settled by reading the stream',
    [START, chooseWith('a'), replyAppend('a', 'unknown')],
    ['settling', 'read-stream'],
  ],
  ['own intent read back', [...ACTIVE], ['dispatched', 'dispatch a']],
  [
    'own intent read back by an inexact table',
    [START, chooseWith('a'), buildFolded({ ...activeView, standing: 'catching-up' })],
    ['settling'],
  ],
  [
    'own intent read back after the deadline',
    [START, chooseWith('a'), buildFolded({ ...activeView, now: 8_000 })],
    ['recording', 'fail not-run log-unavailable', 'append abandoned a'],
  ],
  [
    'append never resolved',
    [START, chooseWith('a'), [{ kind: 'timer', timer: 'settle', round: 1 }]],
    ['recording', 'fail not-run log-unavailable', 'append abandoned a'],
  ],
  [
    'intent of another daemon is active under the same key',
    [START, chooseWith('a'), buildFolded({ chain: openChain('b', 5_000) })],
    ['waiting', 'schedule wait'],
  ],
  [
    'intent of another daemon is old enough to be taken over',
    [START, chooseWith('a'), buildFolded({ chain: openChain('b') })],
    ['fencing', 'fence b'],
  ],
  [
    'other nonce is fenced',
    [[START[0], activeView], replyFence('a', 'fenced', activeView)],
    ['choosing', 'choose-endpoint'],
  ],
  [
    'new intent replaces the fenced one',
    [
      [START[0], activeView],
      replyFence('a', 'fenced', activeView),
      chooseWith('b', openChain('a')),
    ],
    ['settling', 'append intent b', 'schedule settle'],
  ],
  [
    'other nonce still runs',
    [[START[0], activeView], replyFence('a', 'started', activeView)],
    ['fencing', 'schedule poll'],
  ],
  [
    'other nonce still runs at the deadline',
    [[START[0], activeView], replyFence('a', 'started', { ...activeView, now: 8_000 })],
    ['finished', 'fail may-have-run key-in-flight'],
  ],
  [
    'other nonce has finished',
    [[START[0], activeView], replyFinished('a', ANSWER, openChain('a'))],
    ['recording', 'answer', 'append outcome a'],
  ],
  [
    'incarnation of the other nonce has ended',
    [[START[0], activeView], replyFence('a', 'unknown-incarnation', activeView)],
    ['recording', 'fail may-have-run key-unresolved', 'append outcome a'],
  ],
  ['refused as not-run', [...ACTIVE, buildDispatchEnd('a', 'refused')], ['fencing', 'fence a']],
  [
    'refused, then fenced',
    [...ACTIVE, buildDispatchEnd('a', 'refused'), replyFence('a', 'fenced', activeView)],
    ['choosing', 'choose-endpoint'],
  ],
  [
    'refused, and no other endpoint',
    [
      ...ACTIVE,
      buildDispatchEnd('a', 'refused'),
      replyFence('a', 'fenced', activeView),
      [
        { kind: 'endpoint-unavailable', failure: createFailure('not-run', 'no-endpoint', '') },
        activeView,
      ],
    ],
    ['recording', 'fail not-run no-endpoint', 'append abandoned a'],
  ],
  ['answer lost', [...ACTIVE, buildDispatchEnd('a', 'unknown')], ['fencing', 'fence a']],
  [
    'answer lost and incarnation ended',
    [
      ...ACTIVE,
      buildDispatchEnd('a', 'unknown'),
      replyFence('a', 'unknown-incarnation', activeView),
    ],
    ['recording', 'fail may-have-run endpoint-lost', 'append outcome a'],
  ],
  [
    'answer lost and log down',
    [
      ...ACTIVE,
      buildDispatchEnd('a', 'unknown'),
      replyFence('a', 'fenced', { ...activeView, log: 'out' }),
    ],
    ['recording', 'fail not-run log-unavailable', 'append abandoned a'],
  ],
  [
    'answered',
    [
      ...ACTIVE,
      [
        { kind: 'dispatch-ended', nonce: 'a', result: { kind: 'answered', answer: ANSWER } },
        activeView,
      ],
    ],
    ['recording', 'answer', 'append outcome a'],
  ],
  [
    'abandoned by its owner',
    [[START[0], { chain: buildChain('a', { kind: 'abandoned' }) }]],
    ['choosing', 'choose-endpoint'],
  ],
  [
    'different content under the key',
    [[START[0], { chain: { ...openChain('a'), fingerprint: 'g' } }]],
    ['finished', 'fail not-run key-conflict'],
  ],
  [
    'caller disconnects before the dispatch',
    [START, chooseWith('a'), [{ kind: 'caller-disconnected' }]],
    ['recording', 'append abandoned a'],
  ],
];

for (const [name, inputs, expected] of CASES) {
  test(name, (t) => {
    t.deepEqual(runEvents(...inputs), expected);
  });
}

// Guards against a repeated key that runs again, and against a lost status and digest.
test('a repeated key gets the stored answer, else its status and digest', (t) => {
  const closed = { kind: 'closed', verdict: 'ran', status: 201, bodyDigest: 'd' } as const;
  const chain = buildChain('a', closed);
  t.deepEqual(runEvents([START[0], { chain }]), ['fencing', 'fence a']);
  const stored = runEvents([START[0], { chain }], replyFinished('a', ANSWER, chain));
  t.deepEqual(stored, ['finished', 'answer']);
  for (const kind of ['unknown-incarnation', 'fenced'] as const) {
    const digest = runEvents([START[0], { chain }], replyFence('a', kind, { chain }));
    t.deepEqual(digest, ['finished', 'answer-digest']);
  }
});

// Guards against a stored answer that is withheld because the endpoint daemon did not reply to one
// request for it, and against a request that waits without bound for an endpoint that ended.
test('the stored answer is requested again from an endpoint that did not reply', (t) => {
  const closed = { kind: 'closed', verdict: 'ran', status: 201, bodyDigest: 'd' } as const;
  const chain = buildChain('a', closed);
  const start: Input = [START[0], { chain }];
  const unanswered = (now: number) => replyFence('a', 'unreachable', { chain, now });
  const poll = (round: number): Input => [{ kind: 'timer', timer: 'poll', round }, { chain }];
  const first: readonly Input[] = [start, unanswered(5_000)];
  const second: readonly Input[] = [...first, poll(2), unanswered(5_200)];
  t.deepEqual(runEvents(...first), ['fencing', 'schedule poll']);
  t.deepEqual(runEvents(...first, poll(2)), ['fencing', 'fence a']);
  const stored = runEvents(...first, poll(2), replyFinished('a', ANSWER, chain));
  t.deepEqual(stored, ['finished', 'answer']);
  t.deepEqual(runEvents(...second, poll(4), unanswered(5_400)), ['finished', 'answer-digest']);
  t.deepEqual(runEvents(start, unanswered(8_000)), ['finished', 'answer-digest']);
});
