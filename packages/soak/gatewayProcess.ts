import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createWriteStream, renameSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { GATEWAY_MEMORY_MB, GRACE_MS, MEMORY_POLL_MS } from './constants.js';
import type { GatewaySpec, SoakPlatform } from './soakPlatform.js';
import { readPeakMb } from './processMemory.js';
import type { Finding, Termination } from './types.js';
import type { Clock, Millis } from '../core/clock.js';

/** Time after the grace period until a process that has not exited is killed, in ms. */
const KILL_MARGIN_MS = 1_000;

/** Time after SIGTERM for which the load balancer still sends new connections, in ms. */
const ROTATION_DELAY_MS = 2_000;

/** Time from the start of a process after which it serves callers, in ms. */
const SERVING_DELAY_MS = 1_500;

/** Interval at which the phase of a process is polled, in ms. */
const RUNNING_POLL_MS = 50;

/** A gateway process, restarted when it exits for any reason but a kill. */
export interface GatewayProcess {
  /** Returns the number of the current or last process, from 1; 0 before the first start. */
  readonly getIncarnation: () => number;
  /**
   * Reports whether the load balancer sends new connections to the process. It stops a while after
   * SIGTERM.
   */
  readonly isInRotation: () => boolean;
  /** Reports whether the process has been running for a while and is not terminating. */
  readonly isServing: () => boolean;
  /** Resolves when the process is running and not terminating. */
  readonly waitUntilRunning: () => Promise<void>;
  readonly start: () => void;
  readonly kill: () => void;
  readonly pause: () => void;
  readonly resume: () => void;
  /** Sends SIGTERM and reports a finding if the process has not exited after the grace period. */
  readonly terminate: () => void;
  /** Rewrites the settings file and sends SIGHUP. */
  readonly reload: () => void;
  /** Kills the process without a restart; resolves when it has exited. */
  readonly end: () => Promise<void>;
}

export interface GatewayProcessOptions {
  readonly index: number;
  readonly platform: SoakPlatform;
  readonly spec: GatewaySpec;
  /** Directory of the settings file and the log. */
  readonly directory: string;
  readonly clock: Clock;
  /** Longest time from SIGTERM until the process has exited; the default is that of the platform. */
  readonly graceMs?: Millis;
  readonly onFinding: (finding: Finding) => void;
  readonly onTermination: (termination: Termination) => void;
}

type Phase = 'stopped' | 'running' | 'ending' | 'killed';

/**
 * Creates the controller of one gateway process. It signals only that process, by its id.
 *
 * @param options - addresses, stand-ins and callbacks
 * @returns the controller; the process is not started yet
 */
export const createGatewayProcess = (options: GatewayProcessOptions): GatewayProcess => {
  const { clock, directory, graceMs = GRACE_MS, index, spec, platform } = options;
  const settingsPath = join(directory, `${spec.name}.jsonc`);
  const log = createWriteStream(join(directory, `${spec.name}.log`), { flags: 'a' });
  let child: ChildProcess | null = null;
  let phase: Phase = 'stopped';
  let incarnation = 0;
  let startedAt = 0;
  let terminatedAt = 0;
  let pausedAt: Millis | null = null;
  /** Time for which the terminated process was paused since its SIGTERM. */
  let pausedMs = 0;

  /** Replaces the file in one step, since a process that starts may read it meanwhile. */
  const writeSettings = (text: string): void => {
    const draftPath = `${settingsPath}.draft`;
    writeFileSync(draftPath, text);
    renameSync(draftPath, settingsPath);
  };

  const handleExit = (code: number | null, signal: string | null): void => {
    const isExpected = phase === 'ending' || phase === 'killed';
    if (!isExpected) {
      const cause = signal ?? `code ${String(code)}`;
      const detail = `${spec.name} ended by itself with ${cause}`;
      options.onFinding({ promise: 'process-stays', detail });
    }
    pausedAt = null;
    const isRestarted = phase === 'ending' || phase === 'running';
    child = null;
    phase = 'stopped';
    if (isRestarted) start();
  };

  const start = (): void => {
    if (child !== null) {
      // On a busy machine the end of a killed process may be reported after the order to start.
      if (phase === 'killed') child.once('exit', start);
      return;
    }
    incarnation += 1;
    phase = 'running';
    startedAt = clock.now();
    writeSettings(platform.formatSettings(spec));
    const started = spawn(process.execPath, [...platform.program], {
      // Of the other variables, some make the start of Node.js longer (NODE_EXTRA_CA_CERTS), and a
      // platform does not hand them on.
      env: { PATH: process.env['PATH'], [platform.settingsVariable]: settingsPath },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    started.stdout.pipe(log, { end: false });
    started.stderr.pipe(log, { end: false });
    started.once('exit', handleExit);
    watchMemory(started);
    child = started;
  };

  /** Reports a process once if its memory was ever above that of its machine. */
  const watchMemory = (watched: ChildProcess): void => {
    const timer = setInterval(() => {
      const peakMb = readPeakMb(watched.pid ?? 0);
      // No number when the process has just ended.
      if (!(peakMb > GATEWAY_MEMORY_MB)) return;
      clearInterval(timer);
      const detail = `${spec.name} had ${Math.round(peakMb).toString()} MB of ${GATEWAY_MEMORY_MB.toString()}`;
      options.onFinding({ promise: 'memory', detail });
    }, MEMORY_POLL_MS);
    watched.once('exit', () => {
      clearInterval(timer);
    });
  };

  const countPause = (): void => {
    if (pausedAt === null) return;
    pausedMs += clock.now() - Math.max(pausedAt, terminatedAt);
    pausedAt = clock.now();
  };

  /**
   * Reports a process that is still running after its grace period. A paused process can neither end nor
   * know how long ago the signal was sent, so its pauses are added to the period.
   */
  const watchExit = (terminated: ChildProcess): void => {
    let addedMs = 0;
    const checkExit = (): void => {
      if (terminated.exitCode !== null || terminated.signalCode !== null) return;
      countPause();
      if (pausedMs > addedMs) {
        const furtherMs = pausedMs - addedMs;
        addedMs = pausedMs;
        timer = setTimeout(checkExit, furtherMs);
        return;
      }
      const detail = `${spec.name} is still running after its grace period`;
      options.onFinding({ promise: 'process-ends', detail });
      // The phase stays `ending`, so that the gateway is started again and the soak can end.
      terminated.kill('SIGKILL');
    };
    let timer = setTimeout(checkExit, graceMs + KILL_MARGIN_MS);
    terminated.once('exit', () => {
      clearTimeout(timer);
    });
  };

  // Leaves no process behind when the soak itself exits early.
  const stopWithSoak = (): void => {
    child?.kill('SIGKILL');
  };
  process.once('exit', stopWithSoak);

  return {
    getIncarnation: () => incarnation,
    isInRotation: () =>
      phase === 'running' || (phase === 'ending' && clock.now() - terminatedAt < ROTATION_DELAY_MS),
    isServing: () => phase === 'running' && clock.now() - startedAt >= SERVING_DELAY_MS,
    waitUntilRunning: async () => {
      while (phase !== 'running') await sleep(RUNNING_POLL_MS);
    },
    start,
    kill: () => {
      if (child === null) return;
      phase = 'killed';
      child.kill('SIGKILL');
    },
    pause: () => {
      child?.kill('SIGSTOP');
      pausedAt ??= clock.now();
    },
    resume: () => {
      countPause();
      pausedAt = null;
      child?.kill('SIGCONT');
    },
    terminate: () => {
      if (child === null || phase !== 'running') return;
      phase = 'ending';
      terminatedAt = clock.now();
      pausedMs = 0;
      options.onTermination({ gateway: index, incarnation, at: clock.now() });
      child.kill('SIGTERM');
      watchExit(child);
    },
    reload: () => {
      if (child === null || phase !== 'running') return;
      writeSettings(`${platform.formatSettings(spec)}\n`);
      child.kill('SIGHUP');
    },
    end: () =>
      new Promise((resolve) => {
        log.end();
        process.removeListener('exit', stopWithSoak);
        if (child === null) {
          resolve();
          return;
        }
        phase = 'killed';
        child.removeListener('exit', handleExit);
        child.once('exit', () => {
          resolve();
        });
        child.kill('SIGKILL');
      }),
  };
};
