import { buildReadyLine, renderReadyText } from './readyLine.js';
import { renderShortTimeline } from './shortTimeline.js';
import { runSteps } from './steps.js';
import type { StepReport } from './types.js';
import { fetchLogs } from '../clients/debugClient.js';
import type { CommandOutcome, OutputFormat } from '../output.js';
import { waitForShutdown } from '../serving.js';
import { startCluster } from '../../packages/cluster/startCluster.js';
import type { Cluster, ClusterOptions } from '../../packages/cluster/types.js';
import { mergeTimelines } from '../../packages/timeline/merge.js';

const DEMO_CLUSTER: ClusterOptions = {
  dataCentres: ['dc-a', 'dc-b'],
  entryDaemons: 2,
  engines: [{}, {}, {}],
  ledgers: 1,
};

const printProgress = (text: string): void => {
  process.stderr.write(`${text}\n`);
};

const listDaemonUrls = (cluster: Cluster): readonly string[] =>
  cluster.processes.flatMap(({ role, urls }) => {
    if (role === 'entry') return [urls['callers'] ?? ''];
    return role === 'endpoint' ? [urls['http'] ?? ''] : [];
  });

const renderSummary = (reports: readonly StepReport[], startMs: number): string =>
  [
    `started the system in ${startMs.toFixed(0)} ms`,
    ...reports.map(
      ({ step, durationMs, text }) => `${step} (${durationMs.toFixed(0)} ms): ${text}`,
    ),
  ].join('\n');

const performSteps = async (cluster: Cluster, startMs: number): Promise<CommandOutcome> => {
  const result = await runSteps(cluster, ({ step, durationMs }) => {
    printProgress(`${step}: done in ${durationMs.toFixed(0)} ms`);
  });
  if (result.isErr()) return { kind: 'failed', reason: 'internal', message: result.error };
  const reports = result.value;
  const { logs, missing } = await fetchLogs({ urls: listDaemonUrls(cluster) });
  const timeline = renderShortTimeline(mergeTimelines(logs), reports);
  return {
    kind: 'done',
    text: `${timeline}\n\n${renderSummary(reports, startMs)}`,
    data: { startMs, steps: reports },
    warnings: missing,
  };
};

const INTERRUPTED: CommandOutcome = {
  kind: 'failed',
  reason: 'try-again',
  message: 'interrupted by a signal',
};

const startSystem = (port: number): Promise<Cluster> => {
  printProgress('starting the stand-ins, the endpoint daemons and the entry daemons');
  return startCluster({ ...DEMO_CLUSTER, port });
};

const stopSystem = async (cluster: Cluster): Promise<void> => {
  printProgress('stopping all processes');
  await cluster.stop();
};

/**
 * Starts the system, demonstrates its main guarantees with three calls and stops it.
 *
 * @param port - port of the callers' interface; 0 picks a free one
 * @returns the timeline and the summary, or what failed
 */
export const runDemo = async (port: number): Promise<CommandOutcome> => {
  const shutdown = waitForShutdown('ignored');
  const startedAt = performance.now();
  const cluster = await startSystem(port);
  try {
    const steps = performSteps(cluster, performance.now() - startedAt);
    return await Promise.race([steps, shutdown.then(() => INTERRUPTED)]);
  } finally {
    await stopSystem(cluster);
  }
};

/**
 * Starts the system, prints its addresses and keys, and serves until SIGINT or SIGTERM.
 *
 * @param port - port of the callers' interface; 0 picks a free one
 * @param format - one line of JSON, or text
 */
export const serveDemo = async (port: number, format: OutputFormat): Promise<void> => {
  const shutdown = waitForShutdown('ignored');
  const cluster = await startSystem(port);
  const line = buildReadyLine(cluster);
  const text = format === 'json' ? JSON.stringify(line) : renderReadyText(line);
  process.stdout.write(`${text}\n`);
  await shutdown;
  await stopSystem(cluster);
};
