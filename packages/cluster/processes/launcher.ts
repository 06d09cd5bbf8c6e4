import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { closeSync, openSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { z } from 'zod';
import type { ClusterEffect, ProcessSignal, ProcessesEvent } from './types.js';
import { ERROR_OUTPUT_LINES } from '../constants.js';

/** Spawns the processes of a cluster and sends signals to them, never to other processes. */
export interface Launcher {
  readonly spawn: (effect: Extract<ClusterEffect, { kind: 'spawn' }>) => void;
  readonly sendSignal: (name: string, signal: ProcessSignal) => void;
  /** Reads the last lines of a process's stderr; empty when stderr is inherited. */
  readonly readErrorOutput: (name: string) => string;
}

export interface LauncherOptions {
  readonly directory: string;
  readonly errorOutput: 'files' | 'inherit';
  /** Directory for CPU profiles; none are written when it is absent. */
  readonly profileDirectory?: string | undefined;
  readonly post: (event: ProcessesEvent) => void;
}

const PROGRAM = fileURLToPath(new URL('../../../../app/bin/chestnutspan.js', import.meta.url));

const buildProfileFlags = (name: string, directory: string | undefined): readonly string[] =>
  directory === undefined
    ? []
    : [
        '--cpu-prof',
        `--cpu-prof-dir=${directory}`,
        // The time keeps a restarted process from overwriting the profile of its previous run.
        `--cpu-prof-name=${name}-${Date.now().toString()}.cpuprofile`,
      ];

const SERVING_SCHEMA = z.object({ urls: z.record(z.string(), z.string()) });

const parseUrls = (line: string): Readonly<Record<string, string>> | undefined => {
  try {
    return SERVING_SCHEMA.safeParse(JSON.parse(line)).data?.urls;
  } catch {
    // Lines other than the JSON line with the addresses are ignored.
    return undefined;
  }
};

/**
 * Creates the adapter that owns the child processes.
 *
 * @param options - directories, destination of stderr and receiver of events
 * @returns the launcher
 */
export const createLauncher = (options: LauncherOptions): Launcher => {
  const { directory, errorOutput, profileDirectory, post } = options;
  const children = new Map<string, ChildProcess>();

  const toStderrPath = (name: string): string => join(directory, `${name}.stderr`);

  const startChild = (name: string, argv: readonly string[]): ChildProcess => {
    const file = errorOutput === 'files' ? openSync(toStderrPath(name), 'a') : undefined;
    const child = spawn(
      process.execPath,
      [...buildProfileFlags(name, profileDirectory), PROGRAM, ...argv],
      {
        env: { ...process.env, NODE_ENV: 'production' },
        // Detached, so that signals of the terminal do not stop processes out of order.
        detached: true,
        // The stdin pipe closes when this process exits; `--stop-with-input` then stops the child.
        stdio: ['pipe', 'pipe', file ?? 'inherit'],
      },
    );
    if (file !== undefined) closeSync(file);
    return child;
  };

  return {
    spawn: ({ name, run, argv }) => {
      const child = startChild(name, argv);
      children.set(name, child);
      child.once('spawn', () => {
        post({ kind: 'spawned', name, run, pid: child.pid ?? 0 });
      });
      child.once('error', () => {
        if (child.pid === undefined) {
          post({ kind: 'exited', name, run, exit: { code: null, signal: null } });
        }
      });
      child.once('exit', (code, signal) => {
        children.delete(name);
        post({ kind: 'exited', name, run, exit: { code, signal } });
      });
      if (child.stdout !== null) {
        createInterface({ input: child.stdout }).on('line', (line) => {
          const urls = parseUrls(line);
          if (urls !== undefined) post({ kind: 'addresses-printed', name, run, urls });
        });
      }
    },
    sendSignal: (name, signal) => {
      children.get(name)?.kill(signal);
    },
    readErrorOutput: (name) => {
      if (errorOutput === 'inherit') return '';
      const lines = readFileSync(toStderrPath(name), 'utf8').trimEnd().split('\n');
      return lines.slice(-ERROR_OUTPUT_LINES).join('\n');
    },
  };
};
