import { execFile, spawn } from 'node:child_process';
import { once } from 'node:events';

/** Exit code and output of a finished run of the command line. */
export interface ProgramResult {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

const PROGRAM = 'app/bin/chestnutspan.js';

/**
 * Runs the command line in a child process, for tests.
 *
 * @param argv - arguments
 * @param environment - variables added to the environment of the test
 * @returns exit code (-1 after a signal) and output
 */
export const runProgram = (
  argv: readonly string[],
  environment: Readonly<Record<string, string>> = {},
): Promise<ProgramResult> =>
  new Promise((resolve) => {
    const env = { ...process.env, NODE_ENV: 'production', ...environment };
    const child = execFile(
      process.execPath,
      [PROGRAM, ...argv],
      { env },
      (_error, stdout, stderr) => {
        resolve({ code: child.exitCode ?? -1, stdout, stderr });
      },
    );
  });

/**
 * Starts a command that serves, passes its first line of output to `use` and stops it with SIGTERM.
 *
 * @param argv - arguments
 * @param use - receives the line with the addresses
 * @returns exit code after SIGTERM; null if the signal killed the process
 */
export const runServing = async (
  argv: readonly string[],
  use: (line: string) => Promise<void>,
): Promise<number | null> => {
  const child = spawn(process.execPath, [PROGRAM, ...argv], {
    env: { ...process.env, NODE_ENV: 'production' },
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const exited = once(child, 'exit');
  try {
    const [line] = (await once(child.stdout, 'data')) as [Buffer];
    await use(line.toString());
  } finally {
    child.kill('SIGTERM');
  }
  const [code] = (await exited) as [number | null];
  return code;
};
