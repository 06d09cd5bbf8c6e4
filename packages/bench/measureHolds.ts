import { Agent } from 'undici';
import type { Percentiles } from './callers/latencies.js';
import type { LoopDelay } from './client/loopDelay.js';
import { buildCapacityCluster, buildTarget, listMetricsUrls } from './clusters.js';
import { runCallers } from './runCallers.js';
import type { StageResult } from './runCallers.js';
import { fetchSample } from './samples/fetchFigures.js';
import type { MetricsUrls } from './samples/fetchFigures.js';
import { computeCores, computeMemory, computeRate } from './samples/usage.js';
import type { MemoryUsage } from './samples/usage.js';
import type { RunPlan, Sample, Stage } from './types.js';
import { startCluster } from '../cluster/startCluster.js';

export const STREAM_COUNTS: readonly number[] = [500, 1_000, 2_000];

/** Longer than all stages take, so that every stream is held until the end. */
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

/** Figures of the entry daemon while it holds a number of streams. */
export interface ConcurrencyReport {
  readonly streams: number;
  readonly memory: MemoryUsage;
  /** Growth over the idle daemon, for each stream. */
  readonly rssBytesPerStream: number;
  readonly heapBytesPerStream: number;
  readonly entryCores: number;
  /** Processor milliseconds of the entry daemon per second and stream. */
  readonly entryCpuMsPerStreamSecond: number;
  readonly entryCpuMicrosPerToken: number;
  /** Of all endpoint daemons together. */
  readonly endpointCores: number;
  readonly tokensPerSecond: number;
  readonly gap: Percentiles;
  readonly clientDelay: LoopDelay;
  readonly clientCores: number;
}

export interface CapacityReport {
  readonly idle: MemoryUsage;
  readonly holds: readonly ConcurrencyReport[];
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
 * Measures one entry daemon that holds 500, 1,000 and 2,000 streams.
 *
 * @param profileDirectory - directory for processor profiles of the processes
 * @returns memory and processor time at each number
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
