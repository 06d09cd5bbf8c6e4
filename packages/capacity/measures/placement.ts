import { measureDuration } from '../sampling/duration.js';
import type { Experiment } from '../types.js';
import { buildEndpoint } from '../../bench/placement/buildEndpoint.js';
import { createRandomSource } from '../../core/random.js';
import type { RandomSource } from '../../core/random.js';
import { choosePlacement } from '../../decisions/placement/choosePlacement.js';
import { DEFAULT_PLACEMENT_POLICY } from '../../decisions/placement/constants.js';
import { createPlacementTable } from '../../decisions/placement/placementTable.js';
import type { PlacementRequest } from '../../decisions/placement/types.js';
import { createSurvivalTable } from '../../decisions/survival/survivalTable.js';

const SEED = 11;
const OBSERVED_LENGTHS = 3_000;
const PLACEMENTS_IN_FLIGHT = 2_000;
const DECISIONS_PER_ROUND = 100;
const SHARED_SETTINGS = { dataCentres: 17, tokensPerSecond: 833 };

const buildRequest = (index: number, random: RandomSource): PlacementRequest => ({
  requestId: index.toString(),
  target: { kind: 'model', model: 'draft' },
  customer: (index % 100).toString(),
  targets: { className: 'memo', importance: 'standard', answerLength: 'long' },
  promptTokens: 600,
  prefix: Math.floor(random.next() * 1_000).toString(),
  dataCentre: 'dc-0',
  excluded: new Set(),
});

const measureDecision = (endpoints: number) => {
  const random = createRandomSource(SEED);
  const survival = createSurvivalTable();
  for (let count = 0; count < OBSERVED_LENGTHS; count += 1) {
    const key = { className: 'memo', customer: (count % 100).toString(), version: 'v1' };
    survival.observeFinished(key, Math.floor(-800 * Math.log(1 - random.next())));
  }
  const views = Array.from({ length: endpoints }, (_, index) =>
    buildEndpoint(index, random, SHARED_SETTINGS),
  );
  const placements = createPlacementTable(survival);
  for (let index = 0; index < PLACEMENTS_IN_FLIGHT; index += 1) {
    placements.trackPlacement({
      requestId: `own-${index.toString()}`,
      endpoint: `endpoint-${(index % endpoints).toString()}`,
      className: 'memo',
      customer: (index % 100).toString(),
      version: 'v1',
      promptTokens: 600,
      generated: index % 900,
      report: index % 10 === 0 ? 'not-included' : 'included',
      placedAt: 0,
    });
  }
  const requests = Array.from({ length: DECISIONS_PER_ROUND }, (_, index) =>
    buildRequest(index, random),
  );
  const roundTime = measureDuration(() => {
    for (const request of requests) {
      choosePlacement(DEFAULT_PLACEMENT_POLICY, request, views, placements, survival, random);
    }
  });
  return { 'placement.decision-time': roundTime / DECISIONS_PER_ROUND };
};

/** One placement decision of an entry daemon that has 2,000 placements of its own in flight. */
export const PLACEMENT_EXPERIMENTS: readonly Experiment[] = [
  { name: 'placement', sizes: [8, 64, 512, 2_048], measure: measureDecision },
];
