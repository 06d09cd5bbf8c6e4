import test from 'ava';
import fc from 'fast-check';
import { choosePlacement } from './choosePlacement.js';
import { DEFAULT_PLACEMENT_POLICY } from './constants.js';
import { createPlacementTable } from './placementTable.js';
import type {
  EndpointPhase,
  EndpointView,
  LocalPlacement,
  PlacementPolicy,
  PlacementRequest,
} from './types.js';
import { createRandomSource } from '../../core/random.js';
import { createSurvivalTable } from '../survival/survivalTable.js';

const survival = createSurvivalTable();
const random = createRandomSource(7);

const buildEndpoint = (name: string, changes: Partial<EndpointView> = {}): EndpointView => ({
  endpoint: name,
  incarnation: `${name}-1`,
  dataCentre: 'north',
  model: 'draft',
  version: 'v1',
  phase: 'serving',
  limit: 32,
  running: 8,
  waiting: 0,
  memoryUsedTokens: 10_000,
  memoryTotalTokens: 100_000,
  tokensPerSecond: 300,
  loadAgeMs: 200,
  prefixes: new Set(),
  prefixAgeMs: 0,
  prefixGaps: 0,
  preemptions: 0,
  ...changes,
});

const buildRequest = (changes: Partial<PlacementRequest> = {}): PlacementRequest => ({
  requestId: 'r',
  target: { kind: 'model', model: 'draft' },
  customer: 'caroni',
  targets: { className: 'memo', importance: 'standard', answerLength: 'long' },
  promptTokens: 500,
  dataCentre: 'north',
  excluded: new Set(),
  ...changes,
});

const buildPlacement = (requestId: string, endpoint: string): LocalPlacement => ({
  requestId,
  endpoint,
  className: 'memo',
  customer: 'caroni',
  version: 'v1',
  promptTokens: 500,
  generated: 0,
  report: 'not-included',
  placedAt: 1_000,
});

const choose = (
  endpoints: readonly EndpointView[],
  request = buildRequest(),
  policy: PlacementPolicy = DEFAULT_PLACEMENT_POLICY,
  placements = createPlacementTable(survival),
) => choosePlacement(policy, request, endpoints, placements, survival, random);

const policies: readonly PlacementPolicy[] = [
  { kind: 'round-robin' },
  { kind: 'least-requests' },
  DEFAULT_PLACEMENT_POLICY,
];

for (const policy of policies) {
  // Guards against placing requests on endpoints that are draining, suspect, gone, excluded or
  // serve another model.
  test(`${policy.kind} never chooses an endpoint that may not serve the request`, (t) => {
    const closed = [
      buildEndpoint('draining', { phase: 'draining' }),
      buildEndpoint('suspect', { phase: 'suspect' }),
      buildEndpoint('gone', { phase: 'gone' }),
      buildEndpoint('other', { model: 'sort' }),
      buildEndpoint('excluded'),
    ];
    const request = buildRequest({ excluded: new Set(['excluded']) });
    const refused = choose(closed, request, policy);
    t.is(refused.kind === 'refuse' ? refused.failure.code : refused.kind, 'no-endpoint');
    const placed = choose([...closed, buildEndpoint('open')], request, policy);
    t.is(placed.kind === 'place' ? placed.endpoint : placed.kind, 'open');
  });

  // Guards against exceeding the limit between two load reports.
  test(`${policy.kind} counts its placements since the last report towards the limit`, (t) => {
    const placements = createPlacementTable(survival);
    const endpoints = [buildEndpoint('cold', { limit: 2, running: 1 })];
    placements.trackPlacement(buildPlacement('a', 'cold'));
    t.deepEqual(choose(endpoints, buildRequest(), policy, placements), {
      kind: 'wait',
      reason: 'at-limit',
    });
    placements.applyLoadReport('cold', 2_000);
    t.is(choose(endpoints, buildRequest(), policy, placements).kind, 'place');
  });

  // Guards against repeated sends to a full endpoint whose last report still shows free slots.
  test(`${policy.kind} avoids an endpoint that refused for lack of capacity until its next report`, (t) => {
    const placements = createPlacementTable(survival);
    const endpoints = [buildEndpoint('full', { limit: 2, running: 0 })];
    placements.recordRefusal('full', 2, 2_000);
    t.is(choose(endpoints, buildRequest(), policy, placements).kind, 'wait');
    placements.applyLoadReport('full', 1_900);
    t.is(choose(endpoints, buildRequest(), policy, placements).kind, 'wait');
    placements.applyLoadReport('full', 2_100);
    t.is(choose(endpoints, buildRequest(), policy, placements).kind, 'place');
  });
}

const endpointChange = fc.record({
  phase: fc.constantFrom<EndpointPhase[]>(
    'starting',
    'ramping',
    'serving',
    'draining',
    'suspect',
    'gone',
  ),
  model: fc.constantFrom('draft', 'sort'),
  version: fc.constantFrom('v1', 'v2'),
  limit: fc.nat(6),
  running: fc.nat(6),
  waiting: fc.nat(1),
  memoryUsedTokens: fc.nat(110_000),
  prefixes: fc.constantFrom(new Set<string>(), new Set(['p'])),
});

// Guards against placing a request over a limit, waiting although a slot is free, and refusing
// although an endpoint serves the target, for any mix of endpoints.
test('decisions of every policy are consistent with the state of the endpoints', (t) => {
  fc.assert(
    fc.property(
      fc.array(endpointChange, { maxLength: 30 }),
      fc.constantFrom(...policies),
      fc.constantFrom(undefined, 'v1'),
      fc.constantFrom(undefined, 'p'),
      (changes, policy, version, prefix) => {
        const endpoints = changes.map((change, index) => buildEndpoint(index.toString(), change));
        const request = buildRequest({
          target: { kind: 'model', model: 'draft', ...(version === undefined ? {} : { version }) },
          ...(prefix === undefined ? {} : { prefix }),
        });
        const serving = endpoints.filter(
          (view) =>
            ['starting', 'ramping', 'serving'].includes(view.phase) &&
            view.model === 'draft' &&
            (version === undefined || view.version === version),
        );
        const open = serving.filter(
          (view) => view.running + view.waiting < (view.limit < 4 ? view.limit : view.limit - 1),
        );
        const decision = choose(endpoints, request, policy);
        switch (decision.kind) {
          case 'place':
            return open.some((view) => view.endpoint === decision.endpoint);
          case 'wait':
            return (decision.reason === 'memory-full') === open.length > 0 && serving.length > 0;
          case 'refuse':
            return serving.length === 0;
        }
      },
    ),
    { seed: 512, numRuns: 1_000 },
  );
  t.pass();
});

// Guards against a round-robin baseline that skips or prefers endpoints.
test('round-robin cycles through all endpoints', (t) => {
  const placements = createPlacementTable(survival);
  const endpoints = ['a', 'b', 'c'].map((name) => buildEndpoint(name));
  const chosen = [1, 2, 3, 4, 5, 6].map((number) => {
    const decision = choose(endpoints, buildRequest(), { kind: 'round-robin' }, placements);
    const endpoint = decision.kind === 'place' ? decision.endpoint : '';
    placements.trackPlacement(buildPlacement(number.toString(), endpoint));
    return endpoint;
  });
  t.deepEqual(chosen, ['a', 'b', 'c', 'a', 'b', 'c']);
});

// Guards against placing by request count on an engine with few requests but little free memory.
test('predicted-headroom avoids an engine whose memory will overflow', (t) => {
  const full = buildEndpoint('full', { running: 4, memoryUsedTokens: 94_000 });
  const free = buildEndpoint('free', { running: 20, memoryUsedTokens: 40_000 });
  const least = choose([full, free], buildRequest(), { kind: 'least-requests' });
  t.is(least.kind === 'place' ? least.endpoint : '', 'full');
  const decision = choose([full, free]);
  t.is(decision.kind === 'place' ? decision.endpoint : '', 'free');
  t.deepEqual(choose([full]), { kind: 'wait', reason: 'memory-full' });
});

// Guards against stale knowledge of cached prefixes that outweighs actual headroom.
test('a cached prefix attracts a request only while the cache events are recent', (t) => {
  const request = buildRequest({ prefix: 'p' });
  const near = buildEndpoint('near', { memoryUsedTokens: 8_000 });
  const choosePrefixed = (changes: Partial<EndpointView>) => {
    const holder = buildEndpoint('holder', { prefixes: new Set(['p']), ...changes });
    const decision = choose([holder, near], request);
    return decision.kind === 'place' ? decision.endpoint : '';
  };
  t.is(choosePrefixed({}), 'holder');
  t.is(choosePrefixed({ prefixAgeMs: 120_000 }), 'near');
  t.is(choosePrefixed({ prefixGaps: 12 }), 'near');
});

// Guards against short lookups that queue behind long answers.
test('the last slots are reserved for critical classes, which are placed where the wait is shortest', (t) => {
  const nearlyFull = buildEndpoint('a', { limit: 20, running: 19 });
  t.is(choose([nearlyFull]).kind, 'wait');
  const lookup = buildRequest({
    targets: { className: 'lookup', importance: 'critical', answerLength: 'short' },
  });
  t.is(choose([nearlyFull], lookup).kind, 'place');
  const idle = buildEndpoint('b', { limit: 20, running: 2, memoryUsedTokens: 60_000 });
  const decision = choose([nearlyFull, idle], lookup);
  t.is(decision.kind === 'place' ? decision.endpoint : '', 'b');
});

// Guards against totals per endpoint that drift from the tracked placements.
test('the totals of an endpoint return to zero after all placements ended and were reported', (t) => {
  const placements = createPlacementTable(survival);
  for (let number = 0; number < 50; number += 1) {
    placements.trackPlacement(buildPlacement(number.toString(), 'a'));
    placements.updateProgress(number.toString(), number * 20);
  }
  placements.applyLoadReport('a', 2_000);
  for (let number = 0; number < 50; number += 1)
    placements.releasePlacement(number.toString(), 3_000);
  t.is(placements.getLoad('a')?.endedCount, 50);
  placements.applyLoadReport('a', 4_000);
  const load = placements.getLoad('a');
  t.deepEqual(
    [load?.includedCount, load?.includedTokens, load?.newCount, load?.newTokens],
    [0, 0, 0, 0],
  );
  t.deepEqual([load?.endedCount, load?.endedTokens], [0, 0]);
  t.true(load?.change.mean.every((value) => value === 0));
});
