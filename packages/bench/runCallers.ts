import { Agent } from 'undici';
import { createLoopDelayMonitor } from './client/loopDelay.js';
import type { LoopDelay } from './client/loopDelay.js';
import { createStreamClient } from './client/streamClient.js';
import type { StreamClient, StreamTarget } from './client/streamClient.js';
import { PAUSE_SEED } from './constants.js';
import { fetchSample } from './samples/fetchUsage.js';
import type { MetricsUrls } from './samples/fetchUsage.js';
import { listBenchChildren } from './supervisor.js';
import type { BenchViews } from './supervisor.js';
import type { BenchEffect, BenchEvent, RunPlan, Sample, StageRecord } from './types.js';
import { assertNever } from '../core/assertNever.js';
import { createSystemClock } from '../core/clock.js';
import type { Loop } from '../core/loop/types.js';
import { createRandomSource } from '../core/random.js';
import { createRoutedDaemon } from '../standins/common/routedDaemon.js';
import { createView } from '../standins/common/view.js';

/** Measurements of one stage of a run. */
export interface StageResult {
  readonly record: StageRecord;
  readonly samples: readonly Sample[];
  readonly clientDelay: LoopDelay;
}

/** Measurements of a run; counts include the streams outside the measured periods. */
export interface RunResult {
  readonly stages: readonly StageResult[];
  readonly finished: number;
  readonly failed: number;
  /** Messages of the first failures, at most `MAX_REPORTED_FAILURES`. */
  readonly failures: readonly string[];
}

interface Adapters {
  readonly client: StreamClient;
  readonly watchLoopDelay: (stage: number, watch: 'begin' | 'end') => void;
  readonly takeSample: (stage: number) => void;
  readonly onDone: () => void;
}

const performEffect = (
  effect: BenchEffect,
  loop: Loop<BenchEvent>,
  { client, watchLoopDelay, takeSample, onDone }: Adapters,
): void => {
  switch (effect.kind) {
    case 'schedule':
      loop.schedule(effect.delayMs, effect.event);
      return;
    case 'post':
      loop.post(effect.event);
      return;
    case 'open-stream':
      client.open(effect.caller);
      return;
    case 'watch-client':
      watchLoopDelay(effect.stage, effect.watch);
      return;
    case 'take-sample':
      takeSample(effect.stage);
      return;
    case 'done':
      onDone();
      return;
    default:
      assertNever(effect);
  }
};

const ZERO_DELAY: LoopDelay = { p50: 0, p99: 0, max: 0 };

/**
 * Runs the callers of a plan against a target and samples the resource usage of the daemons while
 * each stage is measured.
 *
 * @param plan - stages, answer length and pauses
 * @param target - origins, headers and bodies of the requests
 * @param urls - base URLs of the daemons, whose `/metrics` pages are read
 * @param seed - seed of the random pauses; runs with different seeds have different pauses
 * @returns one result for each stage
 */
export const runCallers = async (
  plan: RunPlan,
  target: StreamTarget,
  urls: MetricsUrls,
  seed = PAUSE_SEED,
): Promise<RunResult> => {
  const clock = createSystemClock();
  const views: BenchViews = { callers: createView(), samples: createView() };
  const loopDelayMonitor = createLoopDelayMonitor();
  const loopDelays = new Map<number, LoopDelay>();
  const metricsAgent = new Agent();
  await new Promise<void>((resolve, reject) => {
    const daemon = createRoutedDaemon<BenchEvent, BenchEffect>({
      name: 'bench',
      clock,
      children: listBenchChildren(
        plan,
        { now: clock.now, random: createRandomSource(seed) },
        views,
      ),
      perform: (effect, loop) => {
        performEffect(effect, loop, adapters);
      },
    });
    const client = createStreamClient(target, clock.now, (event) => {
      daemon.post({ to: 'callers', ...event });
    });
    const adapters: Adapters = {
      client,
      watchLoopDelay: (stage, kind) => {
        if (kind === 'begin') loopDelayMonitor.start();
        else loopDelays.set(stage, loopDelayMonitor.stop());
      },
      takeSample: (stage) => {
        fetchSample(urls, metricsAgent, clock.now).then((sample) => {
          daemon.post({ to: 'samples', kind: 'sampled', stage, sample });
        }, reject);
      },
      onDone: () => {
        daemon.stop();
        client.close().then(resolve, reject);
      },
    };
    daemon.start();
  });
  await metricsAgent.destroy();
  const { records, finished, failed, failures } = views.callers.get();
  const { byStage } = views.samples.get();
  const stages = records.map((record, stage) => ({
    record,
    samples: byStage.get(stage) ?? [],
    clientDelay: loopDelays.get(stage) ?? ZERO_DELAY,
  }));
  return { stages, finished, failed, failures };
};
