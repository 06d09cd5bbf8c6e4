import { describeProblems } from './checkSettings.js';
import type { CommandOutcome } from './output.js';
import { startLoadCluster } from '../packages/cluster/loadCluster.js';
import type { RunResult } from '../packages/load/results/types.js';
import { runPolicies } from '../packages/load/runLoad.js';
import { loadScenario } from '../packages/load/scenario/loadScenario.js';
import type { Scenario } from '../packages/load/scenario/types.js';
import { writeReport } from '../packages/load/writeReport.js';

/** Fields of a scenario that command-line flags override. */
export interface ScenarioOverrides {
  readonly seed?: number | undefined;
  readonly durationMs?: number | undefined;
  readonly policy?: string | undefined;
}

const applyOverrides = (scenario: Scenario, overrides: ScenarioOverrides): Scenario => ({
  ...scenario,
  seed: overrides.seed ?? scenario.seed,
  durationMs: overrides.durationMs ?? scenario.durationMs,
  policies:
    overrides.policy === undefined
      ? scenario.policies
      : scenario.policies.filter(({ kind }) => kind === overrides.policy),
});

const formatMs = (value: number): string => value.toFixed(1).padStart(9);

const formatResult = (result: RunResult): string => {
  const header = [
    `${result.policy.kind}: preemptions ${result.preemptions.toString()}, memory ${(result.meanMemoryShare * 100).toFixed(0)}%, violations ${result.violations.length.toString()}`,
    `  ${'class'.padEnd(14)} offered finished  first p50  first p99    gap p99 gap p99.9   stall ms`,
  ];
  const rows = result.classes.map((row) => {
    const counts = `${row.offered.toString().padStart(7)} ${row.finished.toString().padStart(8)}`;
    const first = `${formatMs(row.firstToken.p50)}  ${formatMs(row.firstToken.p99)}`;
    const gaps = `${formatMs(row.tokenGap.p99)} ${formatMs(row.tokenGap.p999)}`;
    return `  ${row.className.padEnd(14)} ${counts}  ${first}  ${gaps}  ${formatMs(row.stallMs)}`;
  });
  return [...header, ...rows].join('\n');
};

const writeProgress = (text: string): void => {
  process.stderr.write(`${text}\n`);
};

/**
 * Runs a scenario once for each of its policies, in sequence, each on a fresh cluster of processes.
 *
 * @param file - scenario file
 * @param overrides - fields of the scenario that are replaced
 * @param output - directory for the result and the plots; undefined writes no files
 * @returns the outcome; a violated guarantee makes it a failure
 */
export const runScenario = async (
  file: string,
  overrides: ScenarioOverrides,
  output: string | undefined,
): Promise<CommandOutcome> => {
  const loaded = loadScenario(file);
  if (loaded.isErr()) return describeProblems(file, loaded.error);
  const scenario = applyOverrides(loaded.value, overrides);
  if (scenario.policies.length === 0) {
    const message = `the scenario does not define the policy ${overrides.policy ?? ''}`;
    return { kind: 'failed', reason: 'usage', message };
  }
  const results = await runPolicies(scenario, async (policy) => {
    writeProgress(`${scenario.name}: starting a cluster with ${policy.kind}`);
    const cluster = await startLoadCluster(scenario, policy);
    writeProgress(`${scenario.name}: running ${(scenario.durationMs / 1_000).toFixed(0)} s`);
    return cluster;
  });
  const files = output === undefined ? [] : await writeReport(output, results);
  const text = [...results.map(formatResult), ...files.map((path) => `wrote ${path}`)].join('\n');
  const violations = results.reduce((sum, result) => sum + result.violations.length, 0);
  if (violations === 0) return { kind: 'done', text, data: { results, files } };
  const message = `${violations.toString()} violations of guarantees\n${text}`;
  return { kind: 'failed', reason: 'internal', message, data: { results, files } };
};
