import { Agent } from 'undici';
import type { Percentiles } from './callers/latencies.js';
import type { LoopDelay } from './client/loopDelay.js';
import { buildCapacityCluster, buildTarget, listMetricsUrls } from './clusters.js';
import { runCallers } from './runCallers.js';
import type { StageResult } from './runCallers.js';
import { fetchSample } from './samples/fetchUsage.js';
import type { MetricsUrls } from './samples/fetchUsage.js';
import { computeCores, computeMemory, computeRate } from './samples/usage.js';
import type { MemoryUsage } from './samples/usage.js';
import type { RunPlan, Sample, Stage } from './types.js';
import { startCluster } from '../cluster/startCluster.js';

/** Numbers of concurrent streams, in the order in which they are measured. */
export const STREAM_COUNTS: readonly number[] = [500, 1_000, 2_000];

/** Tokens of each answer; enough that every stream stays open until the last stage has ended. */
const ANSWER_TOKENS = 16_000;

const MEASURE_MS = 12_000;

const toStage = (callers: number): Stage => ({
  callers,
  rampMs: 3_000,
  settleMs: 3_000,
  measureMs: MEASURE_MS,
});

const PLAN: RunPlan = {
  stages: STREAM_COUNTS.map(toStage),
  tokens: ANSWER_TOKENS,
  maxPauseMs: 0,
  ending: 'abandon-streams',
};

/** Resource usage while the entry daemon serves a number of concurrent streams. */
export interface ConcurrencyReport {
  readonly streams: number;
  readonly memory: MemoryUsage;
  /** Growth over the idle daemon, divided by the number of streams. */
  readonly rssBytesPerStream: number;
  readonly heapBytesPerStream: number;
  /** Cores that the entry daemon kept busy. */
  readonly entryCores: number;
  /** Processor time of the entry daemon in milliseconds, per second and stream. */
  readonly entryCpuMsPerStreamSecond: number;
  readonly entryCpuMicrosPerToken: number;
  /** Cores that all endpoint daemons together kept busy. */
  readonly endpointCores: number;
  readonly tokensPerSecond: number;
  readonly gap: Percentiles;
  readonly clientDelay: LoopDelay;
  readonly clientCores: number;
}

/** Result of the part `capacity`. */
export interface CapacityReport {
  /** Memory of the entry daemon before the first request. */
  readonly idle: MemoryUsage;
  /** One report for each number of concurrent streams. */
  readonly holds: readonly ConcurrencyReport[];
  /** Number of failed streams. */
  readonly failed: number;
  readonly failures: readonly string[];
}

const buildConcurrencyReport = (
  streams: number,
  stage: StageResult,
  idle: MemoryUsage,
): ConcurrencyReport => {
  const { samples, record, clientDelay } = stage;
  const memory = computeMemory(samples);
  const entryCores = computeCores(samples, ({ entry }) => entry.cpuSeconds);
  const tokensPerSecond = computeRate(record.tokens, MEASURE_MS);
  return {
    streams,
    memory,
    rssBytesPerStream: (memory.rssMaxBytes - idle.rssMaxBytes) / streams,
    heapBytesPerStream: (memory.heapMinBytes - idle.heapMinBytes) / streams,
    entryCores,
    entryCpuMsPerStreamSecond: (entryCores * 1_000) / streams,
    entryCpuMicrosPerToken: (entryCores * 1_000_000) / tokensPerSecond,
    endpointCores: computeCores(samples, ({ endpoints }) => endpoints.cpuSeconds),
    tokensPerSecond,
    gap: record.gaps.getPercentiles(),
    clientDelay,
    clientCores: computeCores(samples, ({ clientCpuSeconds }) => clientCpuSeconds),
  };
};

const sampleIdle = async (urls: MetricsUrls): Promise<Sample> => {
  const agent = new Agent();
  try {
    return await fetchSample(urls, agent, () => 0);
  } finally {
    await agent.destroy();
  }
};

/**
 * Measures one entry daemon that serves 500, 1,000 and 2,000 concurrent streams.
 *
 * @param profileDirectory - directory for CPU profiles; none are written without one
 * @returns memory and processor time at each number of streams
 */
export const measureCapacity = async (
  profileDirectory: string | undefined,
): Promise<CapacityReport> => {
  const cluster = await startCluster(buildCapacityCluster(profileDirectory));
  try {
    const urls = listMetricsUrls(cluster);
    const idle = computeMemory([await sampleIdle(urls)]);
    const target = buildTarget(cluster, 'path', ANSWER_TOKENS);
    const { stages, failed, failures } = await runCallers(PLAN, target, urls);
    const holds = stages.map((stage, index) =>
      buildConcurrencyReport(STREAM_COUNTS[index] ?? 0, stage, idle),
    );
    return { idle, holds, failed, failures };
  } finally {
    await cluster.stop();
  }
};
