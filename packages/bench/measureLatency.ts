import { mergeRecorders } from './callers/latencies.js';
import type { Percentiles } from './callers/latencies.js';
import type { LoopDelay } from './client/loopDelay.js';
import { buildLatencyCluster, buildTarget, listMetricsUrls } from './clusters.js';
import { runCallers } from './runCallers.js';
import type { RunResult, StageResult } from './runCallers.js';
import { computeCores } from './samples/usage.js';
import type { Route, RunPlan } from './types.js';
import { startCluster } from '../cluster/startCluster.js';
import type { Cluster } from '../cluster/types.js';
import type { Millis } from '../core/clock.js';

/** Routes of the rounds of one block; the symmetric order cancels a linear drift of the machine. */
const BLOCK_ROUTES: readonly Route[] = ['direct', 'path', 'path', 'direct'];

/** Number of concurrent streams, at which the targets of the latencies apply. */
export const LATENCY_STREAMS = 200;
const ANSWER_TOKENS = 64;
const ENGINE_STEP_MS = 30;

const PLAN: RunPlan = {
  // The ramp is as long as an answer, so that the requests are spread evenly over time.
  stages: [
    {
      callers: LATENCY_STREAMS,
      rampMs: ANSWER_TOKENS * ENGINE_STEP_MS,
      settleMs: 500,
      measureMs: 8_000,
    },
  ],
  tokens: ANSWER_TOKENS,
  maxPauseMs: 2 * ENGINE_STEP_MS,
  ending: 'finish-streams',
};

/** Latencies and resource usage of one round. */
export interface RoundReport {
  readonly route: Route;
  readonly firstToken: Percentiles;
  readonly gap: Percentiles;
  readonly finished: number;
  readonly failed: number;
  readonly failures: readonly string[];
  readonly clientDelay: LoopDelay;
  /** Cores that the client kept busy. */
  readonly clientCores: number;
  readonly entryCores: number;
  /** Cores that all endpoint daemons together kept busy. */
  readonly endpointCores: number;
}

/** One percentile of a latency on both routes. */
export interface Comparison {
  readonly measure: 'first-token' | 'token-gap';
  readonly percentile: 'p50' | 'p99';
  readonly directMs: Millis;
  readonly pathMs: Millis;
  readonly addedMs: Millis;
  /** Time on the path divided by the direct time. */
  readonly ratio: number;
}

/** Result of the part `latency`. */
export interface LatencyReport {
  readonly streams: number;
  readonly tokensPerAnswer: number;
  readonly engines: number;
  readonly rounds: readonly RoundReport[];
  readonly comparisons: readonly Comparison[];
}

interface Round {
  readonly route: Route;
  readonly run: RunResult;
  readonly stage: StageResult;
}

const runRound = async (cluster: Cluster, route: Route, round: number): Promise<Round> => {
  const target = buildTarget(cluster, route, ANSWER_TOKENS);
  const run = await runCallers(PLAN, target, listMetricsUrls(cluster), round + 1);
  const [stage] = run.stages;
  if (stage === undefined) throw new Error('the run returned no stage');
  return { route, run, stage };
};

const toRoundReport = ({ route, run, stage }: Round): RoundReport => ({
  route,
  firstToken: stage.record.firstTokens.getPercentiles(),
  gap: stage.record.gaps.getPercentiles(),
  finished: run.finished,
  failed: run.failed,
  failures: run.failures,
  clientDelay: stage.clientDelay,
  clientCores: computeCores(stage.samples, ({ clientCpuSeconds }) => clientCpuSeconds),
  entryCores: computeCores(stage.samples, ({ entry }) => entry.cpuSeconds),
  endpointCores: computeCores(stage.samples, ({ endpoints }) => endpoints.cpuSeconds),
});

const mergeRoute = (
  rounds: readonly Round[],
  route: Route,
  measure: Comparison['measure'],
): Percentiles => {
  const records = rounds.filter((round) => round.route === route).map(({ stage }) => stage.record);
  const recorders = records.map(({ firstTokens, gaps }) =>
    measure === 'first-token' ? firstTokens : gaps,
  );
  return mergeRecorders(recorders).getPercentiles();
};

const compareRoutes = (
  rounds: readonly Round[],
  measure: Comparison['measure'],
): readonly Comparison[] => {
  const direct = mergeRoute(rounds, 'direct', measure);
  const path = mergeRoute(rounds, 'path', measure);
  return (['p50', 'p99'] as const).map((percentile) => ({
    measure,
    percentile,
    directMs: direct[percentile],
    pathMs: path[percentile],
    addedMs: path[percentile] - direct[percentile],
    ratio: path[percentile] / direct[percentile],
  }));
};

/**
 * Compares the latencies of the two routes in alternating rounds.
 *
 * @param blocks - number of blocks, of four rounds each
 * @param profileDirectory - directory for CPU profiles; none are written without one
 * @param print - receives one line after each round
 * @returns the latencies of each round, and the percentiles of both routes
 */
export const measureLatency = async (
  blocks: number,
  profileDirectory: string | undefined,
  print: (line: string) => void,
): Promise<LatencyReport> => {
  const cluster = await startCluster(buildLatencyCluster(profileDirectory));
  const rounds: Round[] = [];
  try {
    const routes = Array.from({ length: blocks }, () => BLOCK_ROUTES).flat();
    for (const [index, route] of routes.entries()) {
      const round = await runRound(cluster, route, index);
      rounds.push(round);
      const { gap, firstToken } = toRoundReport(round);
      const figures = `first token p50 ${firstToken.p50.toFixed(1)} ms, gap p99 ${gap.p99.toFixed(1)} ms`;
      print(
        `round ${(index + 1).toString()} of ${routes.length.toString()} (${route}): ${figures}`,
      );
    }
  } finally {
    await cluster.stop();
  }
  return {
    streams: LATENCY_STREAMS,
    tokensPerAnswer: ANSWER_TOKENS,
    engines: Object.keys(cluster.standinUrls.engines).length,
    rounds: rounds.map(toRoundReport),
    comparisons: [...compareRoutes(rounds, 'first-token'), ...compareRoutes(rounds, 'token-gap')],
  };
};
