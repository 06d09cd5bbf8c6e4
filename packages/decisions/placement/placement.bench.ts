import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { choosePlacement } from './choosePlacement.js';
import { DEFAULT_PLACEMENT_POLICY } from './constants.js';
import { createOwnTable } from './own.js';
import type { OwnTable } from './own.js';
import type { EndpointView, PlacementPolicy, PlacementRequest } from './types.js';
import { createRandomSource } from '../../core/random.js';
import type { RandomSource } from '../../core/random.js';
import { createSurvivalTable } from '../survival/survivalTable.js';

const SIZES: readonly number[] = [8, 64, 512];
const OWN_PLACEMENTS = 2_000;
const WARM_UP_DECISIONS = 5_000;
const MEASURED_DECISIONS = 20_000;
const PREFIXES_PER_ENDPOINT = 32;

const survival = createSurvivalTable();

const buildEndpoint = (index: number, random: RandomSource): EndpointView => ({
  endpoint: `endpoint-${index.toString()}`,
  incarnation: index.toString(),
  dataCentre: `dc-${(index % 3).toString()}`,
  model: 'draft',
  version: 'v1',
  phase: 'serving',
  limit: 300,
  running: 20 + Math.floor(random.next() * 20),
  waiting: 0,
  memoryUsedTokens: 50_000 + random.next() * 40_000,
  memoryTotalTokens: 100_000,
  tokensPerSecond: 1_000,
  loadAgeMs: random.next() * 500,
  prefixes: new Set(
    Array.from({ length: PREFIXES_PER_ENDPOINT }, () =>
      Math.floor(random.next() * 1_000).toString(),
    ),
  ),
  prefixAgeMs: random.next() * 10_000,
  prefixGaps: 0,
  preemptions: 0,
});

const buildRequest = (index: number, random: RandomSource): PlacementRequest => ({
  requestId: index.toString(),
  target: { kind: 'model', model: 'draft' },
  customer: (index % 10).toString(),
  targets: { className: 'memo', importance: 'standard', answerLength: 'long' },
  promptTokens: 600,
  prefix: Math.floor(random.next() * 1_000).toString(),
  dataCentre: 'dc-0',
  excluded: new Set(),
});

const observeLengths = (random: RandomSource): void => {
  for (let count = 0; count < 3_000; count += 1) {
    const customer = (count % 10).toString();
    const key = { className: 'memo', customer, version: 'v1' };
    survival.observeFinished(key, Math.floor(-800 * Math.log(1 - random.next())));
  }
};

const trackOwn = (own: OwnTable, endpoints: readonly EndpointView[]): void => {
  for (let index = 0; index < OWN_PLACEMENTS; index += 1) {
    const view = endpoints[index % endpoints.length] as EndpointView;
    own.trackPlacement({
      requestId: `own-${index.toString()}`,
      endpoint: view.endpoint,
      className: 'memo',
      customer: (index % 10).toString(),
      version: 'v1',
      promptTokens: 600,
      generated: index % 900,
      report: index % 10 === 0 ? 'not-included' : 'included',
      placedAt: 0,
    });
  }
};

/** Durations are recorded in nanoseconds. */
const toMicroseconds = (histogram: Histogram, percentile: number): number =>
  histogram.getValueAtPercentile(percentile) / 1_000;

const measurePolicy = (
  policy: PlacementPolicy,
  endpoints: readonly EndpointView[],
  own: OwnTable,
) => {
  const random = createRandomSource(5);
  const histogram = build({ highestTrackableValue: 1e9, numberOfSignificantValueDigits: 3 });
  for (let index = 0; index < WARM_UP_DECISIONS + MEASURED_DECISIONS; index += 1) {
    const request = buildRequest(index, random);
    const startedAt = performance.now();
    choosePlacement(policy, request, endpoints, own, survival, random);
    const duration = performance.now() - startedAt;
    if (index >= WARM_UP_DECISIONS) histogram.recordValue(Math.round(duration * 1e6));
  }
  return {
    policy: policy.kind,
    p50Microseconds: toMicroseconds(histogram, 50),
    p99Microseconds: toMicroseconds(histogram, 99),
  };
};

const measureSize = (size: number) => {
  const random = createRandomSource(3);
  const endpoints = Array.from({ length: size }, (_, index) => buildEndpoint(index, random));
  const own = createOwnTable(survival);
  trackOwn(own, endpoints);
  const least = measurePolicy({ kind: 'least-requests' }, endpoints, own);
  const predicted = measurePolicy(DEFAULT_PLACEMENT_POLICY, endpoints, own);
  const full = endpoints.map((view) => ({ ...view, limit: 1 }));
  const atLimit = measurePolicy(DEFAULT_PLACEMENT_POLICY, full, own);
  return {
    endpoints: size,
    ownPlacements: OWN_PLACEMENTS,
    policies: [least, predicted],
    allAtLimit: atLimit,
    ratioToLeastRequests: Number((predicted.p50Microseconds / least.p50Microseconds).toFixed(2)),
  };
};

observeLengths(createRandomSource(1));
const results = SIZES.map(measureSize);
console.log(JSON.stringify({ bench: 'placement', boundMicroseconds: 50, results }, null, 2));
