import type { EnginesPoint, OutcomeLabel, OutcomePoint, VersionPoint } from './types.js';
import { SERIES_STEP_MS } from '../constants.js';
import type { RequestRecord } from '../requests/types.js';
import type { EngineCounters, Sample } from '../samples/types.js';
import { assertNever } from '../../core/assertNever.js';

/**
 * Converts an outcome to its label in the series.
 *
 * @param outcome - how a request ended
 * @returns the label; an open request counts as `unfinished`
 */
export const toOutcomeLabel = (outcome: RequestRecord['outcome']): OutcomeLabel => {
  switch (outcome.kind) {
    case 'finished':
    case 'no-answer':
    case 'unfinished':
      return outcome.kind;
    case 'failed':
      return outcome.verdict;
    case 'open':
      return 'unfinished';
    default:
      return assertNever(outcome);
  }
};

/**
 * Counts requests by arrival time, class and outcome.
 *
 * @param records - requests of the run
 * @returns the points, sorted by time
 */
export const countOutcomes = (records: Iterable<RequestRecord>): readonly OutcomePoint[] => {
  const points = new Map<string, OutcomePoint>();
  for (const { arrival, outcome } of records) {
    const atMs = Math.floor(arrival.atMs / SERIES_STEP_MS) * SERIES_STEP_MS;
    const point = { atMs, className: arrival.className, outcome: toOutcomeLabel(outcome) };
    const key = JSON.stringify(point);
    points.set(key, { ...point, count: (points.get(key)?.count ?? 0) + 1 });
  }
  return [...points.values()].sort((left, right) => left.atMs - right.atMs);
};

/** Computes how much a counter grew; one that fell restarted from 0 with the engine's process. */
const computeIncrease = (now: number, before: number): number => (now < before ? now : now - before);

const addStarts = (
  totals: Map<string, number>,
  counters: EngineCounters,
  before: EngineCounters | undefined,
): void => {
  for (const [version, started] of Object.entries(counters.startedByVersion)) {
    const increase = computeIncrease(started, before?.startedByVersion[version] ?? 0);
    totals.set(version, (totals.get(version) ?? 0) + increase);
  }
};

const toShares = (atMs: number, totals: ReadonlyMap<string, number>): readonly VersionPoint[] => {
  const sum = [...totals.values()].reduce((left, right) => left + right, 0);
  if (sum === 0) return [];
  return [...totals].map(([version, started]) => ({ atMs, version, share: started / sum }));
};

/**
 * Computes the share of each version in the generations that started between two samples.
 *
 * @param samples - counters of the engines, sorted by time
 * @returns the points, sorted by time
 */
export const computeVersionShares = (samples: readonly Sample[]): readonly VersionPoint[] => {
  const newest = new Map<string, EngineCounters>();
  return samples.flatMap(({ at, counters }) => {
    const totals = new Map<string, number>();
    for (const engine of counters) {
      addStarts(totals, engine, newest.get(engine.engine));
      newest.set(engine.engine, engine);
    }
    return toShares(at, totals);
  });
};

/**
 * Aggregates the counters of all engines in each sample.
 *
 * @param samples - counters of the engines, sorted by time
 * @returns one point for each sample
 */
export const sumEngines = (samples: readonly Sample[]): readonly EnginesPoint[] =>
  samples.map(({ at, counters }) => {
    const sum = (getValue: (engine: EngineCounters) => number): number =>
      counters.reduce((total, engine) => total + getValue(engine), 0);
    return {
      atMs: at,
      running: sum(({ running }) => running),
      waiting: sum(({ waiting }) => waiting),
      memoryShare: sum(({ memoryShare }) => memoryShare) / Math.max(1, counters.length),
      preemptions: sum(({ preemptions }) => preemptions),
    };
  });

/**
 * Finds the newest counters of each engine.
 *
 * @param samples - counters of the engines, sorted by time
 * @returns one record for each engine that answered at least once
 */
export const findNewestCounters = (samples: readonly Sample[]): readonly EngineCounters[] => {
  const newest = new Map(
    samples.flatMap(({ counters }) => counters.map((engine) => [engine.engine, engine] as const)),
  );
  return [...newest.values()];
};
