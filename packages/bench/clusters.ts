import type { StreamTarget } from './client/streamClient.js';
import type { MetricsUrls } from './samples/fetchUsage.js';
import type { Route } from './types.js';
import { assertNever } from '../core/assertNever.js';
import type { Cluster, ClusterOptions, EngineStandinOptions } from '../cluster/types.js';

/**
 * Builds an engine that accepts the full load from its start, without a warm-up. A step takes
 * `stepBaseMs` plus 0.2 ms for each sequence of the batch, which is between 20 and 50 ms in the two
 * clusters below.
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
  // The admission limit is not measured here, so it starts above the number of streams.
  admission: { startLimit: 1_024, maxLimit: 1_024 },
  drainMs: 1_000,
};

/** Number of engines; each of the 4 serves 50 of 200 streams, which makes its step 30 ms long. */
export const LATENCY_ENGINE_COUNT = 4;

/**
 * Builds the options of the cluster in which the latencies of both routes are compared. Its policy
 * spreads the streams as evenly as the direct callers do; otherwise the engines' batches, and with
 * them the step times, would differ between the routes.
 *
 * @param profileDirectory - directory for CPU profiles; none are written without one
 * @returns the options
 */
export const buildLatencyCluster = (profileDirectory: string | undefined): ClusterOptions => ({
  ...SHARED_OPTIONS,
  engines: Array.from({ length: LATENCY_ENGINE_COUNT }, () => buildEngine(20)),
  policy: { kind: 'round-robin' },
  ...(profileDirectory === undefined ? {} : { profileDirectory }),
});

/** Number of engines; each of the 10 serves up to 200 of 2,000 streams, in steps of 20 to 50 ms. */
export const CAPACITY_ENGINE_COUNT = 10;

/**
 * Builds the options of the cluster whose entry daemon serves thousands of concurrent streams, with
 * the default placement policy.
 *
 * @param profileDirectory - directory for CPU profiles; none are written without one
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
 * Builds the target of a route. Only the origins differ between the routes.
 *
 * @param cluster - running cluster
 * @param route - directly to the engines, or through the daemons
 * @param tokens - tokens of each answer
 * @returns origins, headers and bodies of the requests
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
 * Lists the base URLs of the daemons on the request path, whose metrics pages are sampled.
 *
 * @param cluster - running cluster
 * @returns base URLs by role
 */
export const listMetricsUrls = (cluster: Cluster): MetricsUrls => ({
  entry: cluster.entryUrls[0] ?? '',
  endpoints: cluster.processes
    .filter(({ role }) => role === 'endpoint')
    .map(({ urls }) => urls['http'] ?? ''),
});
