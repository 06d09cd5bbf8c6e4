import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createWriteStream, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { GRACE_MS } from './constants.js';
import type { GatewaySpec, SoakPlatform } from './soakPlatform.js';
import type { Finding, Termination } from './types.js';
import type { Clock } from '../core/clock.js';

/** Time beyond the grace period after which a process that was ordered to end is killed. */
const KILL_MARGIN_MS = 1_000;

/** Time after an order to end in which the balancer still sends new connections. */
const ROTATION_DELAY_MS = 2_000;

/** Interval at which a process is looked at that is to be steady. */
const RUNNING_POLL_MS = 50;

/** One gateway that is started again after each end. */
export interface GatewayProcess {
  /** Run of the process, from 1. */
  readonly getIncarnation: () => number;
  /** Whether the balancer sends new connections: not to one that was ordered to end a while ago. */
  readonly isInRotation: () => boolean;
  /** Resolves when the process runs and has no order to end. */
  readonly waitUntilRunning: () => Promise<void>;
  readonly start: () => void;
  readonly kill: () => void;
  readonly pause: () => void;
  readonly resume: () => void;
  readonly terminate: () => void;
  readonly reload: () => void;
  /** Ends the process for good; resolves when it is gone. */
  readonly end: () => Promise<void>;
}

export interface GatewayProcessOptions {
  readonly index: number;
  readonly platform: SoakPlatform;
  readonly spec: GatewaySpec;
  /** Directory of the settings files and logs. */
  readonly directory: string;
  readonly clock: Clock;
  readonly onFinding: (finding: Finding) => void;
  readonly onTermination: (termination: Termination) => void;
}

type Phase = 'stopped' | 'running' | 'ending' | 'killed';

/**
 * Creates the control of one gateway process. Only this process is ever signalled, by its id.
 *
 * @param options - place, stand-ins and receivers
 * @returns the control; the process is not yet started
 */
export const createGatewayProcess = (options: GatewayProcessOptions): GatewayProcess => {
  const { clock, directory, index, spec: spec, platform } = options;
  const settingsPath = join(directory, `${spec.name}.jsonc`);
  const log = createWriteStream(join(directory, `${spec.name}.log`), { flags: 'a' });
  let child: ChildProcess | null = null;
  let phase: Phase = 'stopped';
  let incarnation = 0;
  let terminatedAt = 0;

  const handleExit = (code: number | null, signal: string | null): void => {
    const isExpected = phase === 'ending' || phase === 'killed';
    if (!isExpected) {
      const cause = signal ?? `code ${String(code)}`;
      const detail = `${spec.name} ended by itself with ${cause}`;
      options.onFinding({ promise: 'process-stays', detail });
    }
    const isRestarted = phase === 'ending' || phase === 'running';
    child = null;
    phase = 'stopped';
    if (isRestarted) start();
  };

  const start = (): void => {
    if (child !== null) return;
    incarnation += 1;
    phase = 'running';
    writeFileSync(settingsPath, platform.formatSettings(spec));
    const started = spawn(process.execPath, [...platform.program], {
      env: { ...process.env, [platform.settingsVariable]: settingsPath },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    started.stdout.pipe(log, { end: false });
    started.stderr.pipe(log, { end: false });
    started.once('exit', handleExit);
    child = started;
  };

  const watchExit = (terminated: ChildProcess): void => {
    const timer = setTimeout(() => {
      if (terminated.exitCode !== null || terminated.signalCode !== null) return;
      const detail = `${spec.name} is still there after its grace period`;
      options.onFinding({ promise: 'process-ends', detail });
      phase = 'killed';
      terminated.kill('SIGKILL');
    }, GRACE_MS + KILL_MARGIN_MS);
    terminated.once('exit', () => {
      clearTimeout(timer);
    });
  };

  // A soak that ends early leaves no process behind.
  const stopWithSoak = (): void => {
    child?.kill('SIGKILL');
  };
  process.once('exit', stopWithSoak);

  return {
    getIncarnation: () => incarnation,
    isInRotation: () =>
      phase === 'running' || (phase === 'ending' && clock.now() - terminatedAt < ROTATION_DELAY_MS),
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
    },
    resume: () => {
      child?.kill('SIGCONT');
    },
    terminate: () => {
      if (child === null || phase !== 'running') return;
      phase = 'ending';
      terminatedAt = clock.now();
      options.onTermination({ gateway: index, incarnation, at: clock.now() });
      child.kill('SIGTERM');
      watchExit(child);
    },
    reload: () => {
      if (child === null || phase !== 'running') return;
      writeFileSync(settingsPath, `${platform.formatSettings(spec)}\n`);
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
