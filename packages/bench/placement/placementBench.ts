/**
 * Entry point of `npm run bench:placement`: measures the duration of one placement decision.
 */
import { parseArgs } from 'node:util';
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { buildEndpoint } from './buildEndpoint.js';
import { MAX_PLACEMENT_MICROS } from '../constants.js';
import { readRunMetadata } from '../report/runMetadata.js';
import { printProgress, printResult } from '../report/print.js';
import { renderTable } from '../report/tables.js';
import { writeResult } from '../report/writeResult.js';
import { createRandomSource } from '../../core/random.js';
import type { RandomSource } from '../../core/random.js';
import { choosePlacement } from '../../decisions/placement/choosePlacement.js';
import { DEFAULT_PLACEMENT_POLICY } from '../../decisions/placement/constants.js';
import { createPlacementTable } from '../../decisions/placement/placementTable.js';
import type { PlacementTable } from '../../decisions/placement/placementTable.js';
import type {
  EndpointView,
  PlacementPolicy,
  PlacementRequest,
} from '../../decisions/placement/types.js';
import { createSurvivalTable } from '../../decisions/survival/survivalTable.js';

const SIZES: readonly number[] = [8, 64, 512];
const PLACEMENTS_IN_FLIGHT = 2_000;
const SHARED_SETTINGS = { dataCentres: 3, tokensPerSecond: 1_000 };
const WARM_UP_DECISIONS = 5_000;
const MEASURED_DECISIONS = 20_000;

const survival = createSurvivalTable();

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

const trackPlacements = (placements: PlacementTable, endpoints: readonly EndpointView[]): void => {
  for (let index = 0; index < PLACEMENTS_IN_FLIGHT; index += 1) {
    const view = endpoints[index % endpoints.length] as EndpointView;
    placements.trackPlacement({
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

/** Returns a percentile in microseconds; durations are recorded in nanoseconds. */
const toMicroseconds = (histogram: Histogram, percentile: number): number =>
  histogram.getValueAtPercentile(percentile) / 1_000;

/** Whether the endpoints have headroom, or all are at their limit and none can be chosen. */
type Headroom = 'room' | 'all-at-limit';

/** Durations of the decisions of one policy at one size; a row of the report. */
interface PlacementRow {
  readonly policy: PlacementPolicy['kind'];
  readonly endpoints: number;
  readonly room: Headroom;
  readonly p50Micros: number;
  readonly p99Micros: number;
  readonly meanMicros: number;
  readonly result: 'met' | 'missed';
}

const POLICIES: readonly PlacementPolicy[] = [
  { kind: 'round-robin' },
  { kind: 'least-requests' },
  DEFAULT_PLACEMENT_POLICY,
];

const measurePolicy = (
  policy: PlacementPolicy,
  endpoints: readonly EndpointView[],
  placements: PlacementTable,
  headroom: Headroom,
): PlacementRow => {
  const random = createRandomSource(5);
  const histogram = build({ highestTrackableValue: 1e9, numberOfSignificantValueDigits: 3 });
  for (let index = 0; index < WARM_UP_DECISIONS + MEASURED_DECISIONS; index += 1) {
    const request = buildRequest(index, random);
    const startedAt = performance.now();
    choosePlacement(policy, request, endpoints, placements, survival, random);
    const duration = performance.now() - startedAt;
    if (index >= WARM_UP_DECISIONS) histogram.recordValue(Math.round(duration * 1e6));
  }
  const p99Micros = toMicroseconds(histogram, 99);
  return {
    policy: policy.kind,
    endpoints: endpoints.length,
    room: headroom,
    p50Micros: toMicroseconds(histogram, 50),
    p99Micros,
    meanMicros: histogram.mean / 1_000,
    // The bound applies to every decision, so it is compared with p99 and not with the mean.
    result: p99Micros <= MAX_PLACEMENT_MICROS ? 'met' : 'missed',
  };
};

const measureSize = (size: number): readonly PlacementRow[] => {
  const random = createRandomSource(3);
  const endpoints = Array.from({ length: size }, (_, index) =>
    buildEndpoint(index, random, SHARED_SETTINGS),
  );
  const placements = createPlacementTable(survival);
  trackPlacements(placements, endpoints);
  const fullEndpoints = endpoints.map((view) => ({ ...view, limit: 1 }));
  return POLICIES.flatMap((policy) => [
    measurePolicy(policy, endpoints, placements, 'room'),
    measurePolicy(policy, fullEndpoints, placements, 'all-at-limit'),
  ]);
};

const renderRows = (rows: readonly PlacementRow[]): string =>
  renderTable(
    ['policy', 'endpoints', 'room', 'p50 us', 'p99 us', 'mean us', 'bound 50 us'],
    rows.map((row) => [
      row.policy,
      row.endpoints.toString(),
      row.room,
      row.p50Micros.toFixed(2),
      row.p99Micros.toFixed(2),
      row.meanMicros.toFixed(2),
      row.result,
    ]),
  );

const runPlacementBench = (): void => {
  const { values } = parseArgs({ options: { json: { type: 'boolean', default: false } } });
  const identity = readRunMetadata();
  observeLengths(createRandomSource(1));
  const rows = SIZES.flatMap(measureSize);
  const report = {
    bench: 'placement',
    identity,
    ownPlacements: PLACEMENTS_IN_FLIGHT,
    decisions: MEASURED_DECISIONS,
    boundMicros: MAX_PLACEMENT_MICROS,
    rows,
  };
  const file = writeResult('bench-placement', report);
  printResult(values.json ? JSON.stringify(report, undefined, 2) : renderRows(rows));
  printProgress(`wrote ${file}`);
};

runPlacementBench();
