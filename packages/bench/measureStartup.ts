import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';
import { DEMO_TIMEOUT_MS } from './constants.js';
import type { Millis } from '../core/clock.js';

/** Startup times of `npm run demo`, measured from the start of npm. */
export interface StartupReport {
  readonly command: string;
  /** Time until the compiled command starts its first process; npm and the compiler run before. */
  readonly commandMs: Millis;
  /** Time until every process is ready. */
  readonly readyMs: Millis;
}

const ARGUMENTS = ['run', '--silent', 'demo', '--', '--keep', '--json'];

const waitForLine = (
  input: Readable,
  child: ChildProcess,
  isMatch: (line: string) => boolean,
): Promise<Millis> =>
  new Promise((resolve, reject) => {
    createInterface({ input }).on('line', (line) => {
      if (isMatch(line)) resolve(performance.now());
    });
    child.once('error', reject);
    child.once('exit', (code) => {
      reject(new Error(`npm run demo exited with code ${String(code)} before it was ready`));
    });
  });

/** Interrupts the process group of the demo, which then stops its processes in order. */
const stopDemo = async (child: ChildProcess): Promise<void> => {
  if (child.pid === undefined || child.exitCode !== null) return;
  const ended = new Promise((resolve) => child.once('exit', resolve));
  process.kill(-child.pid, 'SIGINT');
  await ended;
};

/**
 * Starts `npm run demo`, waits until it is ready and stops it.
 *
 * @returns the command and its startup times
 * @throws Error when the demo exits before it is ready, which a timeout also makes it do
 */
export const measureStartup = async (): Promise<StartupReport> => {
  const startedAt = performance.now();
  // The child leads a process group of its own, so that a signal reaches the demo and not only npm.
  const child = spawn('npm', ARGUMENTS, { detached: true, stdio: ['ignore', 'pipe', 'pipe'] });
  const timer = setTimeout(() => {
    if (child.pid !== undefined) process.kill(-child.pid, 'SIGTERM');
  }, DEMO_TIMEOUT_MS);
  try {
    const [commandAt, readyAt] = await Promise.all([
      waitForLine(child.stderr, child, (line) => line.startsWith('starting')),
      waitForLine(child.stdout, child, (line) => line.startsWith('{')),
    ]);
    const command = ['npm', ...ARGUMENTS].join(' ');
    return { command, commandMs: commandAt - startedAt, readyMs: readyAt - startedAt };
  } finally {
    clearTimeout(timer);
    await stopDemo(child);
  }
};
