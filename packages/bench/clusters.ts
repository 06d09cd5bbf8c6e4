import type { StreamTarget } from './client/streamClient.js';
import type { MetricsUrls } from './samples/fetchFigures.js';
import type { Route } from './types.js';
import { assertNever } from '../core/assertNever.js';
import type { Cluster, ClusterOptions, EngineStandinOptions } from '../cluster/types.js';

/**
 * Engines that bear any load from their start. A step takes `stepBaseMs` and 0.2 ms for each sequence
 * of the batch, so the two clusters below keep it between 20 and 50 ms.
 */
const buildEngine = (stepBaseMs: number): { readonly standin: EngineStandinOptions } => ({
  standin: {
    stepBaseMs,
    maxRunning: 1_024,
    memoryTokens: 8_000_000,
    warmUpMs: 1,
    coldConcurrency: 1_024,
    warmConcurrency: 1_024,
    rampMs: 1,
  },
});

const SHARED_OPTIONS: ClusterOptions = {
  dataCentres: ['dc-a'],
  entryDaemons: 1,
  ledgers: 0,
  // The admission limit is not what is measured here, so it is open from the start.
  admission: { startLimit: 1_024, maxLimit: 1_024 },
  drainMs: 1_000,
};

/** 4 engines with 50 of 200 streams each: 30 ms for a step. */
export const LATENCY_ENGINE_COUNT = 4;

/**
 * Builds the cluster in which latencies are compared. Its policy spreads the streams as evenly as
 * the direct callers do, or else the engines' batches and their step times would differ between the
 * two routes.
 *
 * @param profileDirectory - directory for processor profiles
 * @returns the options
 */
export const buildLatencyCluster = (profileDirectory: string | undefined): ClusterOptions => ({
  ...SHARED_OPTIONS,
  engines: Array.from({ length: LATENCY_ENGINE_COUNT }, () => buildEngine(20)),
  policy: { kind: 'round-robin' },
  ...(profileDirectory === undefined ? {} : { profileDirectory }),
});

/** 10 engines with up to 200 of 2,000 streams each: 20 to 50 ms for a step. */
export const CAPACITY_ENGINE_COUNT = 10;

/**
 * Builds the cluster whose entry daemon holds thousands of streams, with the default policy.
 *
 * @param profileDirectory - directory for processor profiles
 * @returns the options
 */
export const buildCapacityCluster = (profileDirectory: string | undefined): ClusterOptions => ({
  ...SHARED_OPTIONS,
  engines: Array.from({ length: CAPACITY_ENGINE_COUNT }, () => buildEngine(10)),
  ...(profileDirectory === undefined ? {} : { profileDirectory }),
});

const PROMPT = 'Draft the board memo on the pooled balances of the last quarter. '.repeat(4);

const listOrigins = (cluster: Cluster, route: Route): readonly string[] => {
  switch (route) {
    case 'direct':
      return Object.values(cluster.standinUrls.engines);
    case 'path':
      return cluster.entryUrls;
    default:
      return assertNever(route);
  }
};

/**
 * Builds the target of a route. Requests are the same on both routes.
 *
 * @param cluster - running system
 * @param route - straight to the engines, or through the daemons
 * @param tokens - length of each answer
 * @returns addresses, headers and bodies
 */
export const buildTarget = (cluster: Cluster, route: Route, tokens: number): StreamTarget => ({
  origins: listOrigins(cluster, route),
  headers: { authorization: `Bearer ${Object.values(cluster.customerKeys)[0] ?? ''}` },
  buildBody: (caller) =>
    JSON.stringify({
      model: cluster.model,
      messages: [{ role: 'user', content: `${caller.toString()}. ${PROMPT}` }],
      stream: true,
      stream_options: { include_usage: true },
      max_tokens: tokens,
      metadata: { target_tokens: tokens.toString() },
    }),
});

/**
 * Lists the metrics pages of the daemons on the path.
 *
 * @param cluster - running system
 * @returns addresses
 */
export const listMetricsUrls = (cluster: Cluster): MetricsUrls => ({
  entry: cluster.entryUrls[0] ?? '',
  endpoints: cluster.processes
    .filter(({ role }) => role === 'endpoint')
    .map(({ urls }) => urls['http'] ?? ''),
});
