import test from 'ava';
import fc from 'fast-check';
import {
  buildCandidate,
  buildEndpoint,
  DEMAND,
  ENGINE_SERVICE,
  PLAIN_SERVICE,
} from './forwarding.fixture.js';
import { computeFailureRate, NEW_ENDPOINT_HEALTH, observeAttempt } from './endpointHealth.js';
import type { EndpointHealth } from './endpointHealth.js';
import { placeBackup, placeAttempt, placeTransfer } from './placeAttempt.js';
import type { PlacementCriteria } from './placeAttempt.js';
import { createRandomSource } from '../../core/random.js';

const random = createRandomSource(5);

const CRITERIA: PlacementCriteria = {
  service: ENGINE_SERVICE,
  demand: DEMAND,
  targetMs: 1_800,
  homeDataCentre: 'dc-a',
  tried: new Set(),
  now: 10_000,
};

const PLAIN_CRITERIA: PlacementCriteria = {
  ...CRITERIA,
  service: PLAIN_SERVICE,
  demand: null,
  targetMs: 120,
};

const buildHealth = (failures: number, answers: number): EndpointHealth => {
  let health = NEW_ENDPOINT_HEALTH;
  for (let number = 0; number < failures + answers; number += 1) {
    const isFailure = (number * failures) % (failures + answers) < failures;
    const observation = isFailure
      ? ({ kind: 'failed' } as const)
      : ({ kind: 'answered', durationMs: 20 } as const);
    health = observeAttempt(health, observation, CRITERIA.now);
  }
  return health;
};

const buildPlain = (id: string) => buildEndpoint(id, { service: 'ledger' });

// Guards against requests to an endpoint that is leaving or unreachable.
test('leaving and unreachable endpoints receive no requests', (t) => {
  const unreachable = observeAttempt(NEW_ENDPOINT_HEALTH, { kind: 'unreachable' }, CRITERIA.now);
  const candidates = [
    buildCandidate(buildEndpoint('e-1', { phase: 'leaving' })),
    buildCandidate(buildEndpoint('e-2'), { health: unreachable }),
  ];
  t.is(placeAttempt(candidates, CRITERIA, random), null);
});

// Guards against a retry at the endpoint that has just failed while others are available.
test('an endpoint that was not tried yet is preferred', (t) => {
  const candidates = [
    buildCandidate(buildPlain('e-1')),
    buildCandidate(buildPlain('e-2'), {
      load: { requests: 7, tokens: 0, waitingTokens: 0, growthTokens: 0 },
    }),
  ];
  const chosen = placeAttempt(candidates, { ...PLAIN_CRITERIA, tried: new Set(['e-1']) }, random);
  t.is(chosen?.record.id, 'e-2');
});

// Guards against excluding every endpoint when the requests themselves cause the failures.
test('failures common to all endpoints exclude none of them', (t) => {
  const health = buildHealth(30, 3);
  const candidates = ['e-1', 'e-2', 'e-3'].map((id) => buildCandidate(buildPlain(id), { health }));
  t.not(placeAttempt(candidates, PLAIN_CRITERIA, random), null);
});

// Guards against an endpoint that fails some of its requests and still receives its usual share.
test('an endpoint that fails more than the others is avoided', (t) => {
  const candidates = [
    buildCandidate(buildPlain('e-1'), { health: buildHealth(12, 12) }),
    buildCandidate(buildPlain('e-2'), {
      health: buildHealth(0, 24),
      load: { requests: 4, tokens: 0, waitingTokens: 0, growthTokens: 0 },
    }),
  ];
  t.is(placeAttempt(candidates, PLAIN_CRITERIA, random)?.record.id, 'e-2');
});

// Guards against an endpoint that receives no requests ever again after its failures.
test('an observed failure rate decays', (t) => {
  const health = buildHealth(20, 0);
  t.true(computeFailureRate(health, CRITERIA.now) > 0.9);
  t.true(computeFailureRate(health, CRITERIA.now + 20_000) < 0.05);
});

// Guards against prompts that queue up at an engine that has just started and whose memory is free.
test('waiting prompts weigh more than memory in use', (t) => {
  const candidates = [
    buildCandidate(buildEndpoint('e-1'), {
      load: { requests: 2, tokens: 2_600, waitingTokens: 2_600, growthTokens: 0 },
    }),
    buildCandidate(buildEndpoint('e-2'), {
      load: { requests: 3, tokens: 5_000, waitingTokens: 0, growthTokens: 0 },
    }),
  ];
  t.is(placeAttempt(candidates, CRITERIA, random)?.record.id, 'e-2');
});

// Guards against more requests to a cold endpoint than its limit allows.
test('a cold endpoint without headroom receives no requests', (t) => {
  const cold = buildCandidate(buildEndpoint('e-1'), { coldHeadroom: 0 });
  t.is(placeAttempt([cold], CRITERIA, random), null);
});

// Guards against a backup that is lost together with its generation, and one on an engine that is
// nearly full.
test('a backup is placed in another data centre on an engine with free memory', (t) => {
  const runner = buildEndpoint('e-1');
  const full = { load: { requests: 5, tokens: 9_500, waitingTokens: 0, growthTokens: 0 } };
  const candidates = [
    buildCandidate(runner),
    buildCandidate(buildEndpoint('e-2')),
    buildCandidate(buildEndpoint('e-3', { dataCentre: 'dc-b' })),
    buildCandidate(buildEndpoint('e-4', { dataCentre: 'dc-b' }), full),
  ];
  t.is(placeBackup(candidates, CRITERIA, runner, random)?.record.id, 'e-3');
  const loaded = candidates.map((candidate) => ({ ...candidate, ...full }));
  t.is(placeBackup(loaded, CRITERIA, runner, random), null);
});

// Guards against a transfer between data centres, which takes twice as long, when an engine of the
// same one has enough free memory.
test('a transfer stays in its data centre if an engine there has free memory', (t) => {
  const runner = buildEndpoint('e-1');
  const candidates = [
    buildCandidate(runner),
    buildCandidate(buildEndpoint('e-2'), {
      load: { requests: 4, tokens: 7_000, waitingTokens: 0, growthTokens: 0 },
    }),
    buildCandidate(buildEndpoint('e-3', { dataCentre: 'dc-b' })),
  ];
  t.is(placeTransfer(candidates, CRITERIA, runner, random)?.record.id, 'e-2');
});

// Guards against a generation that is abandoned although an engine may have enough memory: the
// memory in use is an estimate.
test('a transfer without a target with enough free memory uses the least loaded one', (t) => {
  const runner = buildEndpoint('e-1');
  const candidates = [9_900, 9_400].map((tokens, index) =>
    buildCandidate(buildEndpoint(`e-${(index + 2).toString()}`), {
      load: { requests: 4, tokens, waitingTokens: 0, growthTokens: 0 },
    }),
  );
  t.is(placeTransfer(candidates, CRITERIA, runner, random)?.record.id, 'e-3');
});

const countHome = (candidates: Parameters<typeof placeAttempt>[0], placements: number): number => {
  let home = 0;
  for (let number = 0; number < placements; number += 1) {
    const chosen = placeAttempt(candidates, CRITERIA, random);
    if (chosen?.record.dataCentre === CRITERIA.homeDataCentre) home += 1;
  }
  return home;
};

// Guards against traffic between data centres, and placements by loads that are known late, while
// the own data centre has room: a fleet in several data centres under equal load.
test('generations stay in the own data centre while its engines are no busier than others', (t) => {
  const load = { requests: 2, tokens: 4_000, waitingTokens: 0, growthTokens: 0 };
  const candidates = ['dc-a', 'dc-b', 'dc-c'].map((dataCentre, index) =>
    buildCandidate(buildEndpoint(`e-${index.toString()}`, { dataCentre }), { load }),
  );
  t.is(countHome(candidates, 50), 50);
});

// Guards against engines of the own data centre that preempt generations while others are free: a
// data centre with more callers than its share of the engines.
test('generations leave the own data centre when its engines are full', (t) => {
  const { memoryTokens = 0 } = ENGINE_SERVICE.engine ?? {};
  const full = { requests: 6, tokens: memoryTokens, waitingTokens: 0, growthTokens: 0 };
  const candidates = [
    buildCandidate(buildEndpoint('e-1'), { load: full }),
    buildCandidate(buildEndpoint('e-2', { dataCentre: 'dc-b' })),
  ];
  t.is(countHome(candidates, 50), 0);
});

const countChosen = (candidates: Parameters<typeof placeAttempt>[0], id: string): number => {
  let count = 0;
  for (let number = 0; number < 200; number += 1) {
    if (placeAttempt(candidates, PLAIN_CRITERIA, random)?.record.id === id) count += 1;
  }
  return count;
};

// Guards against calls to an endpoint that the other daemons have filled: one of three endpoints is
// full, and only its answers show it.
test('an endpoint that states that it is full receives no calls until the statement expires', (t) => {
  const build = (observedAt: number) => [
    buildCandidate(buildPlain('l-1'), { statedLoad: { requests: 24, slowdown: null, observedAt } }),
    buildCandidate(buildPlain('l-2')),
    buildCandidate(buildPlain('l-3')),
  ];
  t.is(countChosen(build(PLAIN_CRITERIA.now), 'l-1'), 0);
  t.true(countChosen(build(PLAIN_CRITERIA.now - 1_001), 'l-1') > 20);
});

// Guards against calls to a machine on which work takes four times as long at present, while its answers
// so far were as fast as those of the others.
test('an endpoint that states that its work is slow receives few calls until the statement expires', (t) => {
  const build = (observedAt: number) => [
    buildCandidate(buildPlain('l-1'), { statedLoad: { requests: 0, slowdown: 4, observedAt } }),
    buildCandidate(buildPlain('l-2')),
    buildCandidate(buildPlain('l-3')),
  ];
  t.is(countChosen(build(PLAIN_CRITERIA.now), 'l-1'), 0);
  t.true(countChosen(build(PLAIN_CRITERIA.now - 1_001), 'l-1') > 20);
});

// Guards against an endpoint that attracts calls by statements of no load, whatever it states.
test('no statement increases the share of the endpoint that makes it', (t) => {
  const property = fc.property(
    fc.nat(999_999),
    fc.option(fc.double({ min: 0, max: 100, noNaN: true })),
    fc.integer({ min: 0, max: 2_000 }),
    fc.integer(),
    (requests, slowdown, ageMs, seed) => {
      const load = { requests: 2, tokens: 0, waitingTokens: 0, growthTokens: 0 };
      const observedAt = PLAIN_CRITERIA.now - ageMs;
      const silent = ['l-1', 'l-2', 'l-3'].map((id) => buildCandidate(buildPlain(id), { load }));
      const stating = silent.map((candidate, index) =>
        index === 0 ? { ...candidate, statedLoad: { requests, slowdown, observedAt } } : candidate,
      );
      const choose = (candidates: typeof silent) =>
        placeAttempt(candidates, PLAIN_CRITERIA, createRandomSource(seed))?.record.id;
      return choose(stating) !== 'l-1' || choose(silent) === 'l-1';
    },
  );
  t.notThrows(() => {
    fc.assert(property, { seed: 5, numRuns: 300 });
  });
});
