import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';

/**
 * Starts a program of Node.js as a process of its own. The caller has to end it.
 *
 * @param path - path of the program
 * @param env - variables of its environment, beside the path of programs
 * @param flags - flags of Node.js
 * @returns the process, whose output nobody reads
 */
export const startProgram = (
  path: string,
  env: Readonly<Record<string, string>>,
  flags: readonly string[] = [],
): ChildProcess & { readonly stdout: NonNullable<ChildProcess['stdout']> } =>
  spawn(process.execPath, [...flags, path], {
    env: { PATH: process.env['PATH'], ...env },
    stdio: ['ignore', 'pipe', 'ignore'],
  });
