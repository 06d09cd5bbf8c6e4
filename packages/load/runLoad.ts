import { setMaxListeners } from 'node:events';
import { Agent } from 'undici';
import type { Dispatcher } from 'undici';
import { buildArrivals } from './arrivals/buildArrivals.js';
import { runRequest } from './client/caller.js';
import type { CallerOptions } from './client/caller.js';
import { performAction } from './performAction.js';
import { buildResult } from './results/buildResult.js';
import type { RunResult } from './results/types.js';
import { fetchCounters } from './samples/fetchPages.js';
import { verifyExecutions } from './samples/verifyExecutions.js';
import type { LoadPolicy, Scenario, ScheduleEntry } from './scenario/types.js';
import { listLoadChildren } from './supervisor.js';
import type { LoadViews } from './supervisor.js';
import type { Timetable } from './timetable/timetableChild.js';
import type { TargetCluster, LoadEffect, LoadEvent } from './types.js';
import { createRoutedDaemon } from '../standins/common/routedDaemon.js';
import { createView } from '../standins/common/view.js';
import { assertNever } from '../core/assertNever.js';
import { createSystemClock } from '../core/clock.js';
import type { Millis } from '../core/clock.js';
import { createId } from '../core/ids.js';
import type { Loop } from '../core/loop/types.js';

export interface LoadOptions {
  /** Placement policy of the cluster, recorded in the result. */
  readonly policy: LoadPolicy;
}

/** A cluster that was started for one run and is closed after it. */
export interface RunningCluster extends TargetCluster {
  readonly close: () => Promise<void>;
}

interface RunAdapters extends CallerOptions {
  readonly cluster: TargetCluster;
  readonly onDone: () => void;
}

const buildTimetable = (scenario: Scenario): Timetable => ({
  arrivals: buildArrivals(scenario),
  schedule: [...scenario.schedule].sort((left, right) => left.atMs - right.atMs),
  durationMs: scenario.durationMs,
  drainMs: scenario.drainMs,
});

const performScheduled = async (scheduled: ScheduleEntry, adapters: RunAdapters): Promise<void> => {
  const { cluster, dispatcher, now, post } = adapters;
  const error = await performAction(scheduled.action, cluster, dispatcher).then(
    () => '',
    (reason: unknown) => (reason instanceof Error ? reason.message : String(reason)),
  );
  post({ to: 'samples', kind: 'action-performed', at: now(), scheduled, error });
};

const takeSample = async ({ cluster, dispatcher, now, post }: RunAdapters): Promise<void> => {
  const counters = await fetchCounters(cluster.engineUrls, dispatcher);
  post({ to: 'samples', kind: 'sampled', at: now(), counters });
};

const performEffect = (effect: LoadEffect, loop: Loop<LoadEvent>, adapters: RunAdapters): void => {
  switch (effect.kind) {
    case 'schedule':
      loop.schedule(effect.delayMs, effect.event);
      return;
    case 'send':
      void runRequest(effect.arrival, adapters);
      return;
    case 'act':
      void performScheduled(effect.scheduled, adapters);
      return;
    case 'sample':
      void takeSample(adapters);
      return;
    case 'done':
      adapters.onDone();
      return;
    default:
      assertNever(effect);
  }
};

/** Sends all arrivals and waits for the last response or the end of the drain time. */
const performRun = async (
  scenario: Scenario,
  cluster: TargetCluster,
  run: string,
  dispatcher: Dispatcher,
): Promise<{
  readonly views: LoadViews;
  readonly startedAt: Millis;
  readonly durationMs: Millis;
}> => {
  const views: LoadViews = { requests: createView(), samples: createView() };
  const timetable = buildTimetable(scenario);
  const abortController = new AbortController();
  const clock = createSystemClock();
  const startedAt = clock.now();
  const now = (): Millis => clock.now() - startedAt;
  await new Promise<void>((resolve) => {
    const daemon = createRoutedDaemon<LoadEvent, LoadEffect>({
      name: 'load',
      clock,
      children: listLoadChildren(scenario, run, timetable, now, views),
      perform: (effect, loop) => {
        performEffect(effect, loop, adapters);
      },
    });
    const { signal } = abortController;
    // Every request in progress listens to this signal, more than the default limit allows.
    setMaxListeners(0, signal);
    const adapters: RunAdapters = {
      run,
      cluster,
      dispatcher,
      signal,
      now,
      startedAt,
      post: daemon.post,
      onDone: () => {
        abortController.abort();
        daemon.stop();
        resolve();
      },
    };
    daemon.start();
  });
  return { views, startedAt, durationMs: now() };
};

/**
 * Runs a scenario once against a running cluster.
 *
 * @param scenario - validated scenario
 * @param cluster - addresses and control of the system under load
 * @param options - policy of the cluster
 * @returns the result, as seen by callers and counted by stand-ins
 */
export const runLoad = async (
  scenario: Scenario,
  cluster: TargetCluster,
  options: LoadOptions,
): Promise<RunResult> => {
  const run = createId();
  const dispatcher = new Agent({ headersTimeout: 0, bodyTimeout: 0 });
  try {
    const { views, startedAt, durationMs } = await performRun(scenario, cluster, run, dispatcher);
    const requests = views.requests.get();
    const records = [...requests.table.values()];
    const violations = await verifyExecutions(run, records, cluster, dispatcher);
    const samples = views.samples.get();
    const { policy } = options;
    return buildResult({
      scenario,
      run,
      policy,
      startedAt,
      durationMs,
      requests,
      samples,
      violations,
    });
  } finally {
    await dispatcher.destroy();
  }
};

/**
 * Runs a scenario under each of its policies, one after another, each on a fresh cluster.
 *
 * @param scenario - validated scenario
 * @param startCluster - starts a cluster with the given policy
 * @returns one result for each policy
 */
export const runPolicies = async (
  scenario: Scenario,
  startCluster: (policy: LoadPolicy) => Promise<RunningCluster>,
): Promise<readonly RunResult[]> => {
  const results: RunResult[] = [];
  for (const policy of scenario.policies) {
    const cluster = await startCluster(policy);
    try {
      results.push(await runLoad(scenario, cluster, { policy }));
    } finally {
      await cluster.close();
    }
  }
  return results;
};
