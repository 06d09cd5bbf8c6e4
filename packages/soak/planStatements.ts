import {
  ENGINE_COUNT,
  GATEWAY_COUNT,
  HOSTILE_GAP_MS,
  LEDGER_COUNT,
  MAX_HOSTILE_MS,
  MAX_LEAVING_STATED_MS,
  MAX_REST_MS,
  MIN_FAULT_MS,
  MIN_HOSTILE_MS,
  MIN_LEAVING_STATED_MS,
  ODD_REST_VALUES,
  REST_VALUES,
  STATEMENT_GAP_MS,
} from './constants.js';
import { pickBetween, pickIndex, pickOne } from './draws.js';
import type {
  HostileBehaviour,
  HostileCalls,
  SoakProfile,
  StatementEnd,
  TimedFault,
  WorkerStatement,
} from './types.js';
import type { Millis } from '../core/clock.js';
import type { RandomSource } from '../core/random.js';
import { createSeededSource } from '../standins/common/seededSource.js';

const STATEMENT_ENDS: Readonly<Record<SoakProfile, readonly [StatementEnd, ...StatementEnd[]]>> = {
  faults: ['told', 'untold', 'stopped', 'stays'],
  // A worker that stops without a notice would be an unplanned disruption.
  planned: ['told', 'stays'],
};

/** Connections, and requests on each of them, that hostile callers open and send. */
const HOSTILE_SIZES: Readonly<
  Record<
    HostileBehaviour,
    {
      readonly connections: readonly [number, number];
      readonly requestsEach: readonly [number, number];
    }
  >
> = {
  'pipeline-read': { connections: [20, 120], requestsEach: [100, 500] },
  'pipeline-unread': { connections: [20, 120], requestsEach: [100, 500] },
  'partial-head': { connections: [100, 1_000], requestsEach: [1, 1] },
  'slow-reader': { connections: [5, 40], requestsEach: [1, 1] },
};

const HOSTILE_BEHAVIOURS = [
  'pipeline-read',
  'pipeline-unread',
  'pipeline-unread',
  'partial-head',
  'slow-reader',
] as const;

/** Share of the statements that ask for rest, and of those whose value states no time. */
const REST_SHARE = 0.6;
const ODD_REST_SHARE = 0.25;

const KEYED_SHARE = 0.7;

const pickStatement = (random: RandomSource, profile: SoakProfile): WorkerStatement => {
  const slot = pickIndex(random, ENGINE_COUNT + LEDGER_COUNT);
  if (random.next() < REST_SHARE) {
    const values = random.next() < ODD_REST_SHARE ? ODD_REST_VALUES : REST_VALUES;
    return {
      kind: 'worker-rests',
      slot,
      retryAfter: pickOne<string>(random, values),
      durationMs: pickBetween(random, MIN_FAULT_MS, MAX_REST_MS),
    };
  }
  return {
    kind: 'worker-says-leaving',
    slot,
    durationMs: pickBetween(random, MIN_LEAVING_STATED_MS, MAX_LEAVING_STATED_MS),
    end: pickOne(random, STATEMENT_ENDS[profile]),
  };
};

const pickHostileCalls = (random: RandomSource): HostileCalls => {
  const behaviour = pickOne(random, HOSTILE_BEHAVIOURS);
  const { connections, requestsEach } = HOSTILE_SIZES[behaviour];
  return {
    kind: 'hostile-callers',
    gateway: pickIndex(random, GATEWAY_COUNT),
    behaviour,
    credential: random.next() < KEYED_SHARE ? 'keyed' : 'keyless',
    connections: pickBetween(random, ...connections),
    requestsEach: pickBetween(random, ...requestsEach),
    durationMs: pickBetween(random, MIN_HOSTILE_MS, MAX_HOSTILE_MS),
  };
};

const planSeries = (
  random: RandomSource,
  durationMs: Millis,
  meanGapMs: Millis,
  pick: () => TimedFault['fault'],
): readonly TimedFault[] => {
  const faults: TimedFault[] = [];
  let at = random.next() * 2 * meanGapMs;
  while (at < durationMs) {
    faults.push({ at: Math.round(at), fault: pick() });
    at += random.next() * 2 * meanGapMs;
  }
  return faults;
};

/**
 * Plans what workers state in their answers. It has a random source of its own, so that it leaves the
 * other faults of a seed as they are.
 *
 * @param seed - seed of the whole plan
 * @param durationMs - time in which faults begin
 * @param profile - what is injected
 * @returns the statements in the order of their start
 */
export const planStatements = (
  seed: number,
  durationMs: Millis,
  profile: SoakProfile,
): readonly TimedFault[] => {
  const random = createSeededSource(seed, 'statements');
  return planSeries(random, durationMs, STATEMENT_GAP_MS, () => pickStatement(random, profile));
};

/**
 * Plans hostile callers, from a random source of their own.
 *
 * @param seed - seed of the whole plan
 * @param durationMs - time in which faults begin
 * @returns the groups of callers in the order of their start
 */
export const planHostileCalls = (seed: number, durationMs: Millis): readonly TimedFault[] => {
  const random = createSeededSource(seed, 'hostile callers');
  return planSeries(random, durationMs, HOSTILE_GAP_MS, () => pickHostileCalls(random));
};
