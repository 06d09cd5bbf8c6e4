import {
  DRIFT_FACTOR,
  DRIFT_MARGIN,
  EARLY_FAULT_WEIGHT,
  ODDS_RATIOS,
  RECENT_DECAY,
  RECENT_MIN_OLD_ANSWERS,
  STRATUM_MAX_EVALUATIONS,
  STRATUM_MIN_OLD_ANSWERS,
} from './constants.js';
import {
  SIGNIFICANT_LOG_EVIDENCE,
  computeConcurrentLogRatio,
  computeHistoricalLogRatio,
  computeLogEvidence,
  computeRateUpperBound,
  initSequentialTest,
  updateSequentialTest,
} from './sequentialTest.js';
import type { Tally } from './sequentialTest.js';
import type {
  Cell,
  CellName,
  Evidence,
  EvidenceCounts,
  EvidenceReport,
  FaultFinding,
  FaultMetric,
  MetricTests,
  Move,
  SideTallies,
  Tallies,
  VersionSide,
} from './types.js';
import type { Millis } from '../../core/clock.js';

const METRICS: readonly FaultMetric[] = ['failure', 'slow'];

const EMPTY_TALLIES: Tallies = {
  failure: { answers: 0, faults: 0 },
  slow: { answers: 0, faults: 0 },
};

const EMPTY_SIDE_TALLIES: SideTallies = { old: EMPTY_TALLIES, new: EMPTY_TALLIES };

const initTests = (): Readonly<Record<FaultMetric, MetricTests>> => {
  const tests = { concurrent: initSequentialTest(), historical: initSequentialTest() };
  return { failure: tests, slow: tests };
};

/**
 * Creates the evidence of a move when a daemon starts to track it.
 *
 * @param now - current instant
 * @returns evidence without counts
 */
export const initEvidence = (now: Millis): Evidence => ({
  reported: new Map(),
  cells: new Map(),
  overall: initTests(),
  evaluatedAt: now,
  newVersionReportAt: now,
});

const addTally = (left: Tally, right: Tally): Tally => ({
  answers: left.answers + right.answers,
  faults: left.faults + right.faults,
});

const addTallies = (left: Tallies, right: Tallies): Tallies => ({
  failure: addTally(left.failure, right.failure),
  slow: addTally(left.slow, right.slow),
});

const addSide = (sides: SideTallies, side: VersionSide, added: Tallies): SideTallies => ({
  ...sides,
  [side]: addTallies(sides[side], added),
});

const computeScaledTally = ({ answers, faults }: Tally, factor: number): Tally => ({
  answers: answers * factor,
  faults: faults * factor,
});

const computeScaledTallies = ({ failure, slow }: Tallies, factor: number): Tallies => ({
  failure: computeScaledTally(failure, factor),
  slow: computeScaledTally(slow, factor),
});

const computeIncrement = (newer: EvidenceCounts, older: EvidenceCounts): Tallies => {
  const successes = newer.successes - older.successes;
  const failures = newer.failures - older.failures;
  return {
    failure: { answers: successes + failures, faults: failures },
    slow: { answers: successes, faults: newer.slow - older.slow },
  };
};

/** Counts are cumulative, so the larger one is the newer, in whatever order the reports arrive. */
const mergeCounts = (left: EvidenceCounts, right: EvidenceCounts): EvidenceCounts => ({
  ...left,
  successes: Math.max(left.successes, right.successes),
  failures: Math.max(left.failures, right.failures),
  slow: Math.max(left.slow, right.slow),
});

const createCell = (name: CellName): Cell => ({
  name,
  total: EMPTY_SIDE_TALLIES,
  stratum: EMPTY_SIDE_TALLIES,
  stratumEvaluations: 0,
  latest: EMPTY_SIDE_TALLIES,
  recent: EMPTY_SIDE_TALLIES,
  tests: initTests(),
});

const resolveSide = (move: Move, version: string): VersionSide | null => {
  if (version === move.to) return 'new';
  return version === move.from ? 'old' : null;
};

const addCounts = (
  evidence: Evidence,
  report: EvidenceReport,
  side: VersionSide,
  counts: EvidenceCounts,
): void => {
  const { className, route } = counts;
  const { endpoint, incarnation, dataCentre, version } = report;
  const key = JSON.stringify([endpoint, incarnation, version, className, route]);
  const reported = evidence.reported.get(key);
  // Answers of the old version from before the move are from another period; the new has none.
  const empty = { ...counts, successes: 0, failures: 0, slow: 0 };
  const baseline = reported?.baseline ?? (side === 'old' ? counts : empty);
  const before = reported?.newest ?? baseline;
  const newest = mergeCounts(before, counts);
  evidence.reported.set(key, { baseline, newest });
  const added = computeIncrement(newest, before);
  if (added.failure.answers === 0 && added.slow.faults === 0) return;
  const cellKey = JSON.stringify([className, dataCentre, route]);
  const cell = evidence.cells.get(cellKey) ?? createCell({ className, dataCentre, route });
  evidence.cells.set(cellKey, {
    ...cell,
    total: addSide(cell.total, side, added),
    stratum: addSide(cell.stratum, side, added),
    latest: addSide(cell.latest, side, added),
    recent: addSide(cell.recent, side, added),
  });
};

/**
 * Adds one endpoint's cumulative counts. Repeated, late and reordered reports are not counted
 * twice, and counts of an incarnation that has ended are kept.
 *
 * @param evidence - evidence before the report; its maps are updated in place
 * @param move - move whose versions are compared
 * @param report - counts of one heartbeat
 * @param now - current instant
 * @returns the evidence with the instant of the newest report of the new version
 */
export const addEvidence = (
  evidence: Evidence,
  move: Move,
  report: EvidenceReport,
  now: Millis,
): Evidence => {
  const side = resolveSide(move, report.version);
  if (side === null) return evidence;
  for (const counts of report.counts) addCounts(evidence, report, side, counts);
  return side === 'new' ? { ...evidence, newVersionReportAt: now } : evidence;
};

/** Largest fault rate that the historical and recent answers of the old version allow for. */
const computeTolerableRate = (cell: Cell, metric: FaultMetric): number => {
  const historical = computeRateUpperBound(cell.total.old[metric]) * DRIFT_FACTOR + DRIFT_MARGIN;
  const recent = cell.recent.old[metric];
  if (recent.answers < RECENT_MIN_OLD_ANSWERS) return Math.min(1, historical);
  return Math.min(1, Math.max(historical, (2 * recent.faults) / recent.answers));
};

const isStratumReady = (cell: Cell): boolean =>
  cell.stratum.new.failure.answers > 0 &&
  (cell.stratum.old.failure.answers >= STRATUM_MIN_OLD_ANSWERS ||
    cell.stratumEvaluations >= STRATUM_MAX_EVALUATIONS);

/** Log likelihood ratios of one evaluation, by odds ratio. */
interface LogRatios {
  readonly concurrent: readonly number[];
  readonly historical: readonly number[];
}

const computeLogRatios = (cell: Cell, metric: FaultMetric): LogRatios => {
  const { stratum, latest } = cell;
  const isReady = isStratumReady(cell);
  const rate = computeTolerableRate(cell, metric);
  return {
    concurrent: ODDS_RATIOS.map((oddsRatio) =>
      isReady ? computeConcurrentLogRatio(stratum.new[metric], stratum.old[metric], oddsRatio) : 0,
    ),
    historical: ODDS_RATIOS.map((oddsRatio) =>
      computeHistoricalLogRatio(latest.new[metric], rate, oddsRatio),
    ),
  };
};

const updateTests = (tests: MetricTests, logRatios: LogRatios, weight: number): MetricTests => ({
  concurrent: updateSequentialTest(tests.concurrent, logRatios.concurrent, weight),
  historical: updateSequentialTest(tests.historical, logRatios.historical, weight),
});

const addLogRatios = (left: LogRatios, right: LogRatios): LogRatios => ({
  concurrent: left.concurrent.map((ratio, index) => ratio + (right.concurrent[index] ?? 0)),
  historical: left.historical.map((ratio, index) => ratio + (right.historical[index] ?? 0)),
});

const updateCell = (
  cell: Cell,
  logRatios: Readonly<Record<FaultMetric, LogRatios>>,
  weight: number,
): Cell => {
  const isClosed = isStratumReady(cell);
  return {
    ...cell,
    stratum: isClosed ? EMPTY_SIDE_TALLIES : cell.stratum,
    stratumEvaluations: isClosed ? 0 : cell.stratumEvaluations + 1,
    latest: EMPTY_SIDE_TALLIES,
    recent: {
      old: computeScaledTallies(cell.recent.old, RECENT_DECAY),
      new: computeScaledTallies(cell.recent.new, RECENT_DECAY),
    },
    tests: {
      failure: updateTests(cell.tests.failure, logRatios.failure, weight),
      slow: updateTests(cell.tests.slow, logRatios.slow, weight),
    },
  };
};

const NO_LOG_RATIOS: LogRatios = {
  concurrent: ODDS_RATIOS.map(() => 0),
  historical: ODDS_RATIOS.map(() => 0),
};

/**
 * Evaluates the counts since the last evaluation and updates the tests of all cells.
 *
 * @param evidence - evidence before the evaluation; its maps are updated in place
 * @param move - move whose duration the start times of faults are spread over
 * @param now - current instant
 * @returns the evidence after the evaluation
 */
export const compareVersions = (evidence: Evidence, move: Move, now: Millis): Evidence => {
  const elapsed = Math.max(0, now - evidence.evaluatedAt);
  const weight = ((1 - EARLY_FAULT_WEIGHT) * elapsed) / (move.deadline - move.startedAt);
  let sum = { failure: NO_LOG_RATIOS, slow: NO_LOG_RATIOS };
  for (const [key, cell] of evidence.cells) {
    const logRatios = {
      failure: computeLogRatios(cell, 'failure'),
      slow: computeLogRatios(cell, 'slow'),
    };
    sum = {
      failure: addLogRatios(sum.failure, logRatios.failure),
      slow: addLogRatios(sum.slow, logRatios.slow),
    };
    evidence.cells.set(key, updateCell(cell, logRatios, weight));
  }
  const overall = {
    failure: updateTests(evidence.overall.failure, sum.failure, weight),
    slow: updateTests(evidence.overall.slow, sum.slow, weight),
  };
  return { ...evidence, overall, evaluatedAt: now };
};

const computeMaxLogEvidence = (tests: MetricTests): number =>
  Math.max(computeLogEvidence(tests.concurrent), computeLogEvidence(tests.historical));

/**
 * Finds a fault of the new version that is significant at `FALSE_ALARM_RATE`.
 *
 * @param evidence - evidence after its latest evaluation
 * @returns the fault, or null
 */
export const findSignificantFault = (evidence: Evidence): FaultFinding | null => {
  for (const metric of METRICS) {
    for (const cell of evidence.cells.values()) {
      if (computeMaxLogEvidence(cell.tests[metric]) >= SIGNIFICANT_LOG_EVIDENCE)
        return { metric, cell: cell.name };
    }
    if (computeMaxLogEvidence(evidence.overall[metric]) >= SIGNIFICANT_LOG_EVIDENCE)
      return { metric, cell: null };
  }
  return null;
};

/** Evidence of one route over its classes and data centres. */
export interface RouteEvidence {
  /** Answers of the new version. */
  readonly answers: number;
  /** Decaying counts of recent answers of the old version. */
  readonly recentOld: number;
  /** Decaying counts of recent answers of the new version. */
  readonly recentNew: number;
  /** Largest log evidence against the new version. */
  readonly logEvidence: number;
}

const NO_ROUTE_EVIDENCE: RouteEvidence = { answers: 0, recentOld: 0, recentNew: 0, logEvidence: 0 };

/**
 * Collects the evidence by route.
 *
 * @param evidence - evidence after its latest evaluation
 * @returns one entry for each route on which a version answered
 */
export const collectRouteEvidence = (evidence: Evidence): ReadonlyMap<string, RouteEvidence> => {
  const routes = new Map<string, RouteEvidence>();
  for (const { name, total, recent, tests } of evidence.cells.values()) {
    const route = routes.get(name.route) ?? NO_ROUTE_EVIDENCE;
    routes.set(name.route, {
      answers: route.answers + total.new.failure.answers,
      recentOld: route.recentOld + recent.old.failure.answers,
      recentNew: route.recentNew + recent.new.failure.answers,
      logEvidence: Math.max(
        route.logEvidence,
        computeMaxLogEvidence(tests.failure),
        computeMaxLogEvidence(tests.slow),
      ),
    });
  }
  return routes;
};
