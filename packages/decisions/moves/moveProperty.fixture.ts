import fc from 'fast-check';
import { addEvidence, collectRouteEvidence, compareVersions, initEvidence } from './evidence.js';
import { MOVE, runMove } from './moveSimulation.fixture.js';
import type { MoveRun, VersionBehaviour } from './moveSimulation.fixture.js';
import type { EvidenceReport } from './types.js';

const REQUESTS_PER_SECOND = 40;
const MAX_SEED = 2 ** 31 - 1;

const BEHAVIOURS: readonly VersionBehaviour[] = [
  'good',
  'fails-always',
  'fails-half',
  'slow',
  'fails-late',
  'fails-under-load',
  'fails-on-one-route',
];

const BAD_FROM_START: ReadonlySet<VersionBehaviour> = new Set([
  'fails-always',
  'fails-half',
  'slow',
  'fails-on-one-route',
]);

const checkMove = (behaviour: VersionBehaviour, run: MoveRun): string | null => {
  const wanted = behaviour === 'good' ? 'done' : 'taken-back';
  if (run.record?.outcome !== wanted) return `ended as ${run.record?.outcome ?? 'nothing'}`;
  if (run.phases.some((phase) => phase !== wanted)) return `phases ${run.phases.join(' ')}`;
  if (behaviour === 'good') return run.record.at <= MOVE.deadline ? null : 'after the deadline';
  if (run.lateRequestsToNew > 0) return `${run.lateRequestsToNew.toString()} requests after 5 s`;
  if (!BAD_FROM_START.has(behaviour)) return null;
  // Requests are drawn independently, so one run may deviate by three standard deviations.
  const bound = 0.05 * run.requests + 3 * Math.sqrt(0.05 * run.requests);
  return run.requestsToNew <= bound
    ? null
    : `${run.requestsToNew.toString()} requests to the new version`;
};

/**
 * Builds the property of P4: the move to a good version finishes by its deadline; a bad version is
 * rolled back and receives no requests from 5 s after its fault is detectable, and one that is bad
 * from the start receives at most a canary's share.
 *
 * @returns a fast-check property that throws an error with the violation
 */
export const buildMoveProperty = () =>
  fc.property(fc.constantFrom(...BEHAVIOURS), fc.nat(MAX_SEED), (behaviour, seed) => {
    const run = runMove({ seed, behaviour, requestsPerSecond: REQUESTS_PER_SECOND });
    const violation = checkMove(behaviour, run);
    if (violation !== null) throw new Error(`version ${behaviour}: ${violation}`);
  });

/**
 * Builds an endpoint's report for one class and route.
 *
 * @param incarnation - incarnation of the endpoint daemon
 * @param version - version that it runs
 * @param successes - number of successes; there are half as many failures
 * @returns the report
 */
export const buildReport = (
  incarnation: string,
  version: string,
  successes: number,
): EvidenceReport => ({
  endpoint: 'e',
  dataCentre: 'd',
  incarnation,
  version,
  counts: [{ route: 'r', className: 'c', successes, failures: successes / 2, slow: 0 }],
});

/**
 * Builds the property that repeated, late and reordered reports add up to the newest count of each
 * incarnation.
 *
 * @returns a fast-check property
 */
export const buildReportsProperty = () => {
  const reports = ['i1', 'i2'].flatMap((incarnation) =>
    [2, 4, 10].map((successes) => buildReport(incarnation, MOVE.to, successes)),
  );
  const anyOrder = fc.tuple(fc.shuffledSubarray(reports, { minLength: 6 }), fc.subarray(reports));
  return fc.property(anyOrder, ([order, repeated]) => {
    let evidence = initEvidence(0);
    for (const report of [...order, ...repeated]) {
      evidence = compareVersions(addEvidence(evidence, MOVE, report, 0), MOVE, 0);
    }
    return collectRouteEvidence(evidence).get('r')?.answers === 30;
  });
};
