import { createLauncher } from './launcher.js';
import type { Launcher } from './launcher.js';
import type {
  ClusterEffect,
  ClusterEvent,
  ProcessExit,
  ProcessSpec,
  ProcessState,
  ProcessTable,
  ProcessesEvent,
} from './types.js';
import { createInstanceListClient } from '../instances/instanceListClient.js';
import type { InstanceListClient } from '../instances/instanceListClient.js';
import { checkReadiness } from '../instances/readiness.js';
import { listClusterChildren } from '../supervisor.js';
import { createWatch } from '../watch.js';
import { assertNever } from '../../core/assertNever.js';
import { createSystemClock } from '../../core/clock.js';
import type { Millis } from '../../core/clock.js';
import type { Loop } from '../../core/loop/types.js';
import { createRoutedDaemon } from '../../standins/common/routedDaemon.js';

/** Promise-based control of the processes of a cluster, on top of its event loop. */
export interface ProcessControl {
  readonly getTable: () => ProcessTable;
  readonly post: (event: ProcessesEvent) => void;
  /** Starts processes together; resolves when all are ready, rejects when one fails to start. */
  readonly start: (specs: readonly ProcessSpec[]) => Promise<readonly ProcessState[]>;
  /** Resolves when the process has exited. */
  readonly waitForExit: (name: string) => Promise<ProcessExit>;
  /**
   * Sends SIGTERM to processes, and after `withinMs` SIGKILL to those that are still running.
   * Resolves when all have exited.
   */
  readonly stop: (names: readonly string[], withinMs: Millis) => Promise<void>;
  /** Stops the loop after the instance list has answered all changes. */
  readonly close: () => Promise<void>;
}

export interface ProcessControlOptions {
  readonly directory: string;
  readonly errorOutput: 'files' | 'inherit';
  readonly profileDirectory?: string | undefined;
  /** Process name of the platform stand-in. */
  readonly platformName: string;
}

interface Adapters {
  readonly launcher: Launcher;
  readonly instances: InstanceListClient;
  readonly post: (event: ProcessesEvent) => void;
}

const performEffect = (
  effect: ClusterEffect,
  { launcher, instances, post }: Adapters,
  loop: Loop<ClusterEvent>,
): void => {
  switch (effect.kind) {
    case 'spawn':
      launcher.spawn(effect);
      return;
    case 'send-signal':
      launcher.sendSignal(effect.name, effect.signal);
      return;
    case 'check-ready': {
      const { name, run, url } = effect;
      void checkReadiness(url).then((problem) => {
        post({ kind: 'checked', name, run, problem });
      });
      return;
    }
    case 'list-instance':
      instances.register(effect);
      return;
    case 'unlist-instance':
      instances.deregister(effect);
      return;
    case 'schedule':
      loop.schedule(effect.delayMs, effect.event);
      return;
    default:
      assertNever(effect);
  }
};

const isStartFinished = ({ phase }: ProcessState): boolean =>
  phase === 'ready' || phase === 'exited';

const describeFailedStart = (state: ProcessState, errorOutput: string): string => {
  const { spec, exit, problem } = state;
  const outcome = exit?.signal ?? `code ${String(exit?.code)}`;
  const lines = [
    `${spec.name} did not start: it ended with ${outcome}`,
    problem ?? '',
    errorOutput,
  ];
  return lines.filter((line) => line !== '').join('\n');
};

/**
 * Creates and starts the loop that owns the processes of a cluster, with its adapters.
 *
 * @param options - directories, destination of stderr and name of the platform stand-in
 * @returns control of the processes
 */
export const createProcessControl = (options: ProcessControlOptions): ProcessControl => {
  const watch = createWatch<ProcessTable>();
  const post = (event: ProcessesEvent): void => {
    daemon.post({ to: 'processes', ...event });
  };
  const launcher = createLauncher({ ...options, post });
  const getPlatformUrl = (): string =>
    watch.get().get(options.platformName)?.urls['platform'] ?? '';
  const instances = createInstanceListClient({ getPlatformUrl, post });
  const adapters = { launcher, instances, post };
  const daemon = createRoutedDaemon<ClusterEvent, ClusterEffect>({
    name: 'cluster',
    clock: createSystemClock(),
    children: listClusterChildren(watch.publish),
    perform: (effect, loop) => {
      performEffect(effect, adapters, loop);
    },
  });
  daemon.start();

  const startAndWait = async (spec: ProcessSpec): Promise<ProcessState> => {
    const previousRun = watch.get().get(spec.name)?.run ?? 0;
    post({ kind: 'start', spec });
    const state = await watch.wait((table) => {
      const found = table.get(spec.name);
      return found !== undefined && found.run > previousRun && isStartFinished(found)
        ? found
        : undefined;
    });
    if (state.phase === 'ready') return state;
    throw new Error(describeFailedStart(state, launcher.readErrorOutput(spec.name)));
  };

  const waitForExit = (name: string): Promise<ProcessExit> =>
    watch.wait((table) => table.get(name)?.exit ?? undefined);

  const stopAll = async (names: readonly string[], withinMs: Millis): Promise<void> => {
    for (const name of names) post({ kind: 'signal', name, signal: 'SIGTERM' });
    const timer = setTimeout(() => {
      for (const name of names) post({ kind: 'signal', name, signal: 'SIGKILL' });
    }, withinMs);
    await Promise.all(names.map(waitForExit));
    clearTimeout(timer);
  };

  return {
    getTable: watch.get,
    post,
    start: (specs) => Promise.all(specs.map(startAndWait)),
    waitForExit,
    stop: stopAll,
    close: async () => {
      await instances.waitUntilIdle();
      daemon.stop();
    },
  };
};
