import { computeVersionShares, countOutcomes, findNewestCounters, sumEngines } from './series.js';
import type { ClassResult, RunResult } from './types.js';
import type { RequestRecord, RequestsState, Violation } from '../requests/types.js';
import type { SamplesState } from '../samples/samplesChild.js';
import type { LoadClass, LoadPolicy, Scenario } from '../scenario/types.js';
import type { Millis } from '../../core/clock.js';

/** Data that a run has collected. */
export interface RunRecords {
  readonly scenario: Scenario;
  readonly run: string;
  readonly policy: LoadPolicy;
  readonly startedAt: Millis;
  readonly durationMs: Millis;
  readonly requests: RequestsState;
  readonly samples: SamplesState;
  /** Violations found in the execution counts of the stand-ins. */
  readonly violations: readonly Violation[];
}

const countFailures = (records: readonly RequestRecord[]): Readonly<Record<string, number>> => {
  const counts: Record<string, number> = {};
  for (const { outcome } of records) {
    if (outcome.kind !== 'failed') continue;
    const key = `${outcome.verdict}/${outcome.code}`;
    counts[key] = (counts[key] ?? 0) + 1;
  }
  return counts;
};

const buildClass = (
  loadClass: LoadClass,
  records: readonly RequestRecord[],
  { measures }: RequestsState,
): ClassResult => {
  const { name, kind } = loadClass;
  const count = (outcomeKind: RequestRecord['outcome']['kind']): number =>
    records.filter(({ outcome }) => outcome.kind === outcomeKind).length;
  const retries = records.flatMap(({ retryKinds }) => retryKinds);
  return {
    className: name,
    kind,
    offered: records.length,
    finished: count('finished'),
    failures: countFailures(records),
    noAnswer: count('no-answer'),
    unfinished: count('unfinished') + count('open'),
    resumed: retries.filter((retryKind) => retryKind === 'resumed').length,
    sentAgain: retries.filter((retryKind) => retryKind === 'sent-again').length,
    firstToken: measures.getPercentiles(name, 'first-token'),
    tokenGap: measures.getPercentiles(name, 'token-gap'),
    wholeAnswer: measures.getPercentiles(name, 'whole-answer'),
    sendDelay: measures.getPercentiles(name, 'send-delay'),
    ...measures.getTotals(name),
  };
};

const computeMean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);

/**
 * Builds the result of a run.
 *
 * @param records - requests, samples and violations
 * @returns the result, which can be serialised as JSON
 */
export const buildResult = (records: RunRecords): RunResult => {
  const { scenario, requests, samples } = records;
  const all = [...requests.table.values()];
  const measured = all.filter(({ arrival }) => arrival.atMs >= scenario.settleMs);
  const engines = findNewestCounters(samples.samples);
  const points = sumEngines(samples.samples);
  const measuredPoints = points.filter(
    ({ atMs }) => atMs >= scenario.settleMs && atMs <= scenario.durationMs,
  );
  return {
    scenario: scenario.name,
    run: records.run,
    seed: scenario.seed,
    policy: records.policy,
    startedAt: new Date(records.startedAt).toISOString(),
    durationMs: records.durationMs,
    classes: scenario.classes.map((loadClass) =>
      buildClass(
        loadClass,
        measured.filter(({ arrival }) => arrival.className === loadClass.name),
        requests,
      ),
    ),
    engines,
    preemptions: engines.reduce((sum, { preemptions }) => sum + preemptions, 0),
    overloadedWhileCold: engines.reduce((sum, engine) => sum + engine.overloadedWhileCold, 0),
    meanMemoryShare: computeMean(measuredPoints.map(({ memoryShare }) => memoryShare)),
    violations: [...requests.violations, ...records.violations],
    actions: [...samples.actions].sort((left, right) => left.plannedMs - right.plannedMs),
    series: {
      outcomes: countOutcomes(all),
      versions: computeVersionShares(samples.samples),
      engines: points,
    },
  };
};
