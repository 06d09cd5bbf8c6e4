import test from 'ava';
import {
  buildCandidate,
  buildEndpoint,
  DEMAND,
  ENGINE_SERVICE,
  PLAIN_SERVICE,
} from './forwarding.fixture.js';
import { computeFailureRate, NEW_ENDPOINT_HEALTH, observeAttempt } from './endpointHealth.js';
import type { EndpointHealth } from './endpointHealth.js';
import { placeBackup, placeForward, placeTransfer } from './placeForward.js';
import type { PlacementQuestion } from './placeForward.js';
import { createRandomSource } from '../../core/random.js';

const random = createRandomSource(5);

const QUESTION: PlacementQuestion = {
  service: ENGINE_SERVICE,
  demand: DEMAND,
  targetMs: 1_800,
  tried: new Set(),
  now: 10_000,
};

const PLAIN: PlacementQuestion = {
  ...QUESTION,
  service: PLAIN_SERVICE,
  demand: null,
  targetMs: 120,
};

const buildFailing = (failures: number, answers: number): EndpointHealth => {
  let health = NEW_ENDPOINT_HEALTH;
  for (let turn = 0; turn < failures + answers; turn += 1) {
    const isFailure = (turn * failures) % (failures + answers) < failures;
    const sign = isFailure
      ? ({ kind: 'failed' } as const)
      : ({ kind: 'answered', durationMs: 20 } as const);
    health = observeAttempt(health, sign, QUESTION.now);
  }
  return health;
};

const buildPlain = (id: string) => buildEndpoint(id, { service: 'ledger' });

// Guards against new work for an endpoint that leaves or cannot be reached.
test('leaving and unreachable endpoints get nothing', (t) => {
  const unreachable = observeAttempt(NEW_ENDPOINT_HEALTH, { kind: 'unreachable' }, QUESTION.now);
  const candidates = [
    buildCandidate(buildEndpoint('e-1', { phase: 'leaving' })),
    buildCandidate(buildEndpoint('e-2'), { health: unreachable }),
  ];
  t.is(placeForward(candidates, QUESTION, random), null);
});

// Guards against a second attempt at the endpoint that has just failed while there are others.
test('an endpoint that was not tried goes first', (t) => {
  const candidates = [
    buildCandidate(buildPlain('e-1')),
    buildCandidate(buildPlain('e-2'), { load: { requests: 7, tokens: 0, waitingTokens: 0 } }),
  ];
  const chosen = placeForward(candidates, { ...PLAIN, tried: new Set(['e-1']) }, random);
  t.is(chosen?.record.id, 'e-2');
});

// Guards against an outage of all endpoints because requests fail by their nature.
test('failures that all endpoints have alike keep none out of use', (t) => {
  const health = buildFailing(30, 3);
  const candidates = ['e-1', 'e-2', 'e-3'].map((id) => buildCandidate(buildPlain(id), { health }));
  t.not(placeForward(candidates, PLAIN, random), null);
});

// Guards against an endpoint that fails part of its requests and still gets its share.
test('an endpoint that fails more than the others is avoided', (t) => {
  const candidates = [
    buildCandidate(buildPlain('e-1'), { health: buildFailing(12, 12) }),
    buildCandidate(buildPlain('e-2'), {
      health: buildFailing(0, 24),
      load: { requests: 4, tokens: 0, waitingTokens: 0 },
    }),
  ];
  t.is(placeForward(candidates, PLAIN, random)?.record.id, 'e-2');
});

// Guards against an endpoint that is never tried again after its failures.
test('an observed failure rate fades', (t) => {
  const health = buildFailing(20, 0);
  t.true(computeFailureRate(health, QUESTION.now) > 0.9);
  t.true(computeFailureRate(health, QUESTION.now + 20_000) < 0.05);
});

// Guards against prompts that queue behind each other at an engine that has just started.
test('prompts that wait count more than memory in use', (t) => {
  const candidates = [
    buildCandidate(buildEndpoint('e-1'), {
      load: { requests: 2, tokens: 2_600, waitingTokens: 2_600 },
    }),
    buildCandidate(buildEndpoint('e-2'), {
      load: { requests: 3, tokens: 5_000, waitingTokens: 0 },
    }),
  ];
  t.is(placeForward(candidates, QUESTION, random)?.record.id, 'e-2');
});

// Guards against a cold endpoint that gets more than its bound.
test('a cold endpoint without room gets nothing', (t) => {
  const cold = buildCandidate(buildEndpoint('e-1'), { coldRoom: 0 });
  t.is(placeForward([cold], QUESTION, random), null);
});

// Guards against a copy that is lost together with its generation, and one that leaves no room.
test('a copy goes to another data centre with room', (t) => {
  const runner = buildEndpoint('e-1');
  const full = { load: { requests: 5, tokens: 9_500, waitingTokens: 0 } };
  const candidates = [
    buildCandidate(runner),
    buildCandidate(buildEndpoint('e-2')),
    buildCandidate(buildEndpoint('e-3', { dataCentre: 'dc-b' })),
    buildCandidate(buildEndpoint('e-4', { dataCentre: 'dc-b' }), full),
  ];
  t.is(placeBackup(candidates, QUESTION, runner, random)?.record.id, 'e-3');
  const crowded = candidates.map((candidate) => ({ ...candidate, ...full }));
  t.is(placeBackup(crowded, QUESTION, runner, random), null);
});

// Guards against a transfer that takes twice as long while there is room nearby.
test('a transfer stays in the data centre if there is room', (t) => {
  const runner = buildEndpoint('e-1');
  const candidates = [
    buildCandidate(runner),
    buildCandidate(buildEndpoint('e-2'), {
      load: { requests: 4, tokens: 7_000, waitingTokens: 0 },
    }),
    buildCandidate(buildEndpoint('e-3', { dataCentre: 'dc-b' })),
  ];
  t.is(placeTransfer(candidates, QUESTION, runner, random)?.record.id, 'e-2');
});

// Guards against a generation that is given up although an engine may have room: the memory in use
// is an estimate.
test('a transfer without a target that has room goes to the least crowded one', (t) => {
  const runner = buildEndpoint('e-1');
  const candidates = [9_900, 9_400].map((tokens, index) =>
    buildCandidate(buildEndpoint(`e-${(index + 2).toString()}`), {
      load: { requests: 4, tokens, waitingTokens: 0 },
    }),
  );
  t.is(placeTransfer(candidates, QUESTION, runner, random)?.record.id, 'e-3');
});
