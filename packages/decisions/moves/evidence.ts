import {
  DRIFT_FACTOR,
  DRIFT_MARGIN,
  EARLY_FAULT_WEIGHT,
  ODDS_RATIOS,
  RECENT_DECAY,
  RECENT_OLD_REQUESTS,
  STRATUM_MAX_LOOKS,
  STRATUM_OLD_REQUESTS,
} from './constants.js';
import {
  CLEAR_LOG_RATIO,
  computeLogRatio,
  computePastFactor,
  computePresentFactor,
  computeUpperRate,
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

const EMPTY: Tallies = {
  failure: { answers: 0, faults: 0 },
  slow: { answers: 0, faults: 0 },
};

const EMPTY_SIDES: SideTallies = { old: EMPTY, new: EMPTY };

const initTests = (): Readonly<Record<FaultMetric, MetricTests>> => {
  const tests = { present: initSequentialTest(), past: initSequentialTest() };
  return { failure: tests, slow: tests };
};

/**
 * Creates the evidence of a move that begins to be watched.
 *
 * @param now - current instant
 * @returns evidence without counts
 */
export const initEvidence = (now: Millis): Evidence => ({
  known: new Map(),
  cells: new Map(),
  overall: initTests(),
  lookedAt: now,
  newReportAt: now,
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

const computeScaled = ({ answers, faults }: Tally, factor: number): Tally => ({
  answers: answers * factor,
  faults: faults * factor,
});

const computeScaledTallies = ({ failure, slow }: Tallies, factor: number): Tallies => ({
  failure: computeScaled(failure, factor),
  slow: computeScaled(slow, factor),
});

const toTallies = (newer: EvidenceCounts, older: EvidenceCounts): Tallies => {
  const successes = newer.successes - older.successes;
  const failures = newer.failures - older.failures;
  return {
    failure: { answers: successes + failures, faults: failures },
    slow: { answers: successes, faults: newer.slow - older.slow },
  };
};

/** Counts only grow, so the larger one is the newer, whatever order the reports arrive in. */
const mergeCounts = (left: EvidenceCounts, right: EvidenceCounts): EvidenceCounts => ({
  ...left,
  successes: Math.max(left.successes, right.successes),
  failures: Math.max(left.failures, right.failures),
  slow: Math.max(left.slow, right.slow),
});

const createCell = (name: CellName): Cell => ({
  name,
  total: EMPTY_SIDES,
  stratum: EMPTY_SIDES,
  looks: 0,
  latest: EMPTY_SIDES,
  recent: EMPTY_SIDES,
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
  const known = evidence.known.get(key);
  // The past of the old version belongs to another time; the new one has none before the move.
  const empty = { ...counts, successes: 0, failures: 0, slow: 0 };
  const base = known?.base ?? (side === 'old' ? counts : empty);
  const before = known?.newest ?? base;
  const newest = mergeCounts(before, counts);
  evidence.known.set(key, { base, newest });
  const added = toTallies(newest, before);
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
 * Adds one endpoint's cumulative counts. Repeated, late and reordered reports change nothing that is
 * already counted, and counts of an incarnation that ended stay.
 *
 * @param evidence - evidence before the report; its tables are updated in place
 * @param move - move that names the versions
 * @param report - counts of one heartbeat
 * @param now - current instant
 * @returns the evidence with the instant of the newest report
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
  return side === 'new' ? { ...evidence, newReportAt: now } : evidence;
};

/** Largest rate of the old version that its past and present leave possible. */
const computeTolerableRate = (cell: Cell, metric: FaultMetric): number => {
  const past = computeUpperRate(cell.total.old[metric]) * DRIFT_FACTOR + DRIFT_MARGIN;
  const recent = cell.recent.old[metric];
  if (recent.answers < RECENT_OLD_REQUESTS) return Math.min(1, past);
  return Math.min(1, Math.max(past, (2 * recent.faults) / recent.answers));
};

const isStratumReady = (cell: Cell): boolean =>
  cell.stratum.new.failure.answers > 0 &&
  (cell.stratum.old.failure.answers >= STRATUM_OLD_REQUESTS || cell.looks >= STRATUM_MAX_LOOKS);

interface LookFactors {
  readonly present: readonly number[];
  readonly past: readonly number[];
}

const computeFactors = (cell: Cell, metric: FaultMetric): LookFactors => {
  const { stratum, latest } = cell;
  const isReady = isStratumReady(cell);
  const rate = computeTolerableRate(cell, metric);
  return {
    present: ODDS_RATIOS.map((oddsRatio) =>
      isReady ? computePresentFactor(stratum.new[metric], stratum.old[metric], oddsRatio) : 0,
    ),
    past: ODDS_RATIOS.map((oddsRatio) => computePastFactor(latest.new[metric], rate, oddsRatio)),
  };
};

const updateTests = (tests: MetricTests, factors: LookFactors, weight: number): MetricTests => ({
  present: updateSequentialTest(tests.present, factors.present, weight),
  past: updateSequentialTest(tests.past, factors.past, weight),
});

const addFactors = (left: LookFactors, right: LookFactors): LookFactors => ({
  present: left.present.map((factor, index) => factor + (right.present[index] ?? 0)),
  past: left.past.map((factor, index) => factor + (right.past[index] ?? 0)),
});

const updateCell = (
  cell: Cell,
  factors: Readonly<Record<FaultMetric, LookFactors>>,
  weight: number,
): Cell => {
  const isClosed = isStratumReady(cell);
  return {
    ...cell,
    stratum: isClosed ? EMPTY_SIDES : cell.stratum,
    looks: isClosed ? 0 : cell.looks + 1,
    latest: EMPTY_SIDES,
    recent: {
      old: computeScaledTallies(cell.recent.old, RECENT_DECAY),
      new: computeScaledTallies(cell.recent.new, RECENT_DECAY),
    },
    tests: {
      failure: updateTests(cell.tests.failure, factors.failure, weight),
      slow: updateTests(cell.tests.slow, factors.slow, weight),
    },
  };
};

const NO_FACTORS: LookFactors = {
  present: ODDS_RATIOS.map(() => 0),
  past: ODDS_RATIOS.map(() => 0),
};

/**
 * Compares the versions on what was counted since the last look.
 *
 * @param evidence - evidence before the look; its tables are updated in place
 * @param move - move that gives the time over which faults may begin
 * @param now - current instant
 * @returns the evidence after the look
 */
export const observeEvidence = (evidence: Evidence, move: Move, now: Millis): Evidence => {
  const elapsed = Math.max(0, now - evidence.lookedAt);
  const weight = ((1 - EARLY_FAULT_WEIGHT) * elapsed) / (move.deadline - move.startedAt);
  let sum = { failure: NO_FACTORS, slow: NO_FACTORS };
  for (const [key, cell] of evidence.cells) {
    const factors = {
      failure: computeFactors(cell, 'failure'),
      slow: computeFactors(cell, 'slow'),
    };
    sum = {
      failure: addFactors(sum.failure, factors.failure),
      slow: addFactors(sum.slow, factors.slow),
    };
    evidence.cells.set(key, updateCell(cell, factors, weight));
  }
  const overall = {
    failure: updateTests(evidence.overall.failure, sum.failure, weight),
    slow: updateTests(evidence.overall.slow, sum.slow, weight),
  };
  return { ...evidence, overall, lookedAt: now };
};

const computeDoubt = (tests: MetricTests): number =>
  Math.max(computeLogRatio(tests.present), computeLogRatio(tests.past));

/**
 * Finds a fault of the new version that is clear at the stated false-alarm rate.
 *
 * @param evidence - evidence after its newest look
 * @returns the fault, or null
 */
export const findFault = (evidence: Evidence): FaultFinding | null => {
  for (const metric of METRICS) {
    for (const cell of evidence.cells.values()) {
      if (computeDoubt(cell.tests[metric]) >= CLEAR_LOG_RATIO) return { metric, cell: cell.name };
    }
    if (computeDoubt(evidence.overall[metric]) >= CLEAR_LOG_RATIO) return { metric, cell: null };
  }
  return null;
};

/** What the evidence says about one route. */
export interface RouteEvidence {
  /** Answers of the new version. */
  readonly answers: number;
  readonly recentOld: number;
  readonly recentNew: number;
  /** Largest evidence against the new version, as a logarithm. */
  readonly doubt: number;
}

const NO_ROUTE_EVIDENCE: RouteEvidence = { answers: 0, recentOld: 0, recentNew: 0, doubt: 0 };

/**
 * Collects the evidence by route.
 *
 * @param evidence - evidence after its newest look
 * @returns one entry for each route on which a version answered
 */
export const collectRoutes = (evidence: Evidence): ReadonlyMap<string, RouteEvidence> => {
  const routes = new Map<string, RouteEvidence>();
  for (const { name, total, recent, tests } of evidence.cells.values()) {
    const route = routes.get(name.route) ?? NO_ROUTE_EVIDENCE;
    routes.set(name.route, {
      answers: route.answers + total.new.failure.answers,
      recentOld: route.recentOld + recent.old.failure.answers,
      recentNew: route.recentNew + recent.new.failure.answers,
      doubt: Math.max(route.doubt, computeDoubt(tests.failure), computeDoubt(tests.slow)),
    });
  }
  return routes;
};
