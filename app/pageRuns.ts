import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { cpSync, mkdirSync, readFileSync, readdirSync, symlinkSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { join } from 'node:path';
import type { PageBlock } from './pageBlocks.js';
import { assertNever } from '../packages/core/assertNever.js';

/** Ports that the pages and the example settings name. */
const PAGE_PORTS = ['8080', '8081', '8090', '8180', '8181', '8190'] as const;

/** Name of the command line, as the pages write it. */
const COMMAND = 'chestnutspan() { node app/bin/chestnutspan.js "$@"; }';

/** Where the blocks of a page run. */
export interface PageRun {
  readonly folder: string;
  readonly environment: Readonly<Record<string, string>>;
  /** Replaces the ports of the pages by free ones. */
  readonly toFreePorts: (text: string) => string;
}

/** A process of a block that serves. */
export interface Served {
  readonly stop: () => Promise<number | null>;
}

const findFreePort = async (): Promise<string> => {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port.toString();
};

/**
 * Finds free ports for those of the pages.
 *
 * @returns a function that replaces the ports in a text
 */
export const findFreePorts = async (): Promise<PageRun['toFreePorts']> => {
  const free = await Promise.all(PAGE_PORTS.map(findFreePort));
  const table = new Map(PAGE_PORTS.map((port, index) => [port as string, free[index] ?? port]));
  return (text) => text.replace(/\b8\d{3}\b/g, (port) => table.get(port) ?? port);
};

/**
 * Prepares a folder that looks like the repository, with example settings on free ports.
 *
 * @param run - folder, which exists, and ports
 */
export const buildFolder = ({ folder, toFreePorts }: PageRun): void => {
  const root = process.cwd();
  const settings = join(folder, 'app/settings');
  mkdirSync(settings, { recursive: true });
  cpSync('app/settings', settings, { recursive: true });
  for (const name of readdirSync(settings)) {
    const file = join(settings, name);
    writeFileSync(file, toFreePorts(readFileSync(file, 'utf8')));
  }
  for (const name of ['app/bin', 'dist', 'node_modules', 'package.json']) {
    symlinkSync(join(root, name), join(folder, name));
  }
};

const startShell = (
  argv: readonly string[],
  { folder, environment }: PageRun,
  output: 'collected' | 'dropped',
) => {
  const [program = 'sh', ...rest] = argv;
  const stream = output === 'collected' ? 'pipe' : 'ignore';
  return spawn(program, rest, {
    cwd: folder,
    env: { ...process.env, NODE_ENV: 'production', ...environment },
    stdio: ['pipe', 'pipe', stream],
  });
};

const runText = async (
  argv: readonly string[],
  text: string,
  run: PageRun,
): Promise<{ readonly code: number | null; readonly output: string }> => {
  const child = startShell(argv, run, 'collected');
  let output = '';
  for (const stream of [child.stdout, child.stderr]) {
    stream?.on('data', (data: Buffer) => (output += data.toString()));
  }
  child.stdin?.end(text);
  const [code] = (await once(child, 'close')) as [number | null];
  return { code, output };
};

/** Waits for the addresses that the process prints, or for its early end. */
const startServing = async (line: string, run: PageRun): Promise<Served> => {
  const child = startShell(['sh', '-c', `exec ${line}`], run, 'dropped');
  const exited = once(child, 'exit') as Promise<[number | null]>;
  const started = once(child.stdout ?? child, 'data').then(() => 'started' as const);
  const first = await Promise.race([started, exited.then(([code]) => code)]);
  if (first !== 'started') throw new Error(`"${line}" ended with ${String(first)}`);
  child.stdout?.resume();
  return {
    stop: async () => {
      child.kill('SIGTERM');
      const [code] = await exited;
      return code;
    },
  };
};

const formatPlace = ({ page, line }: PageBlock): string => `${page}:${line.toString()}`;

const assertCode = (
  block: PageBlock,
  expected: number,
  { code, output }: { readonly code: number | null; readonly output: string },
): void => {
  if (code === expected) return;
  const found = `ended with ${String(code)}, not ${expected.toString()}`;
  throw new Error(`the code block at ${formatPlace(block)} ${found}\n${output}`);
};

/**
 * Runs one block of a page.
 *
 * @param block - block of the page
 * @param run - where it runs
 * @returns the processes that it left running
 * @throws when an exit code is not the one that the block names
 */
export const runBlock = async (block: PageBlock, run: PageRun): Promise<readonly Served[]> => {
  const text = run.toFreePorts(block.text);
  switch (block.run.kind) {
    case 'commands': {
      const ended = await runText(['sh', '-e'], `${COMMAND}\n${text}`, run);
      assertCode(block, block.run.exitCode, ended);
      return [];
    }
    case 'script': {
      const ended = await runText(['node', '--input-type=module', '-'], text, run);
      assertCode(block, 0, ended);
      return [];
    }
    case 'serve':
      return Promise.all(
        text
          .trim()
          .split('\n')
          .map((line) => startServing(line, run)),
      );
    default:
      return assertNever(block.run);
  }
};
