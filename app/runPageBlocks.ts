import { spawn } from 'node:child_process';
import { randomInt } from 'node:crypto';
import { once } from 'node:events';
import { cpSync, mkdirSync, readFileSync, readdirSync, symlinkSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { join } from 'node:path';
import type { PageBlock } from './pageBlocks.js';
import { assertNever } from '../packages/core/assertNever.js';

/** Ports that the pages and the example settings use. */
const PAGE_PORTS = ['8080', '8081', '8090', '8180', '8181', '8190'] as const;

/** Maximum length of a server's error output in the report of a failed start. */
const MAX_ERROR_CHARS = 4_000;

/** Shell function that defines the `chestnutspan` command used on the pages. */
const COMMAND_FUNCTION = 'chestnutspan() { node app/bin/chestnutspan.js "$@"; }';

/** Environment in which the blocks of a page are executed. */
export interface RunContext {
  readonly directory: string;
  readonly environment: Readonly<Record<string, string>>;
  /** Replaces the ports in a string with free ones. */
  readonly replacePorts: (text: string) => string;
}

/** A process started by a `serve` block. */
export interface ServedProcess {
  readonly stop: () => Promise<number | null>;
}

/**
 * Range of the ports for pages. It is below the ports that the system assigns, so that no other test
 * gets one of them before its server starts.
 */
const MIN_PORT = 20_000;
const MAX_PORT = 32_000;

const isFree = (port: number): Promise<boolean> =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, '127.0.0.1', () => {
      server.close(() => {
        resolve(true);
      });
    });
  });

const findFreePorts = async (count: number): Promise<readonly string[]> => {
  const ports: string[] = [];
  let port = randomInt(MIN_PORT, MAX_PORT);
  while (ports.length < count) {
    if (await isFree(port)) ports.push(port.toString());
    port = port === MAX_PORT ? MIN_PORT : port + 1;
  }
  return ports;
};

/**
 * Picks a free port for each port that the pages use.
 *
 * @returns a function that replaces the ports in a string
 */
export const createPortReplacer = async (): Promise<RunContext['replacePorts']> => {
  const free = await findFreePorts(PAGE_PORTS.length);
  const portMap = new Map(PAGE_PORTS.map((port, index) => [port as string, free[index] ?? port]));
  return (text) => text.replace(/\b8\d{3}\b/g, (port) => portMap.get(port) ?? port);
};

/**
 * Builds a working directory with the layout of the repository, in which the example settings use
 * free ports.
 *
 * @param context - existing directory and port replacement
 */
export const buildDirectory = ({ directory, replacePorts }: RunContext): void => {
  const root = process.cwd();
  const settings = join(directory, 'app/settings');
  mkdirSync(settings, { recursive: true });
  cpSync('app/settings', settings, { recursive: true });
  for (const name of readdirSync(settings)) {
    const file = join(settings, name);
    writeFileSync(file, replacePorts(readFileSync(file, 'utf8')));
  }
  for (const name of ['app/bin', 'dist', 'node_modules', 'package.json']) {
    symlinkSync(join(root, name), join(directory, name));
  }
};

const startChild = (argv: readonly string[], { directory, environment }: RunContext) => {
  const [program = 'sh', ...rest] = argv;
  return spawn(program, rest, {
    cwd: directory,
    env: { ...process.env, NODE_ENV: 'production', ...environment },
    stdio: 'pipe',
  });
};

const runWithInput = async (
  argv: readonly string[],
  text: string,
  context: RunContext,
): Promise<{ readonly code: number | null; readonly output: string }> => {
  const child = startChild(argv, context);
  let output = '';
  for (const stream of [child.stdout, child.stderr]) {
    stream.on('data', (data: Buffer) => (output += data.toString()));
  }
  child.stdin.end(text);
  const [code] = (await once(child, 'close')) as [number | null];
  return { code, output };
};

/** Starts a server and waits until it prints its addresses; rejects if it exits before. */
const startServer = async (line: string, context: RunContext): Promise<ServedProcess> => {
  const child = startChild(['sh', '-c', `exec ${line}`], context);
  let errors = '';
  child.stderr.on(
    'data',
    (data: Buffer) => (errors = (errors + data.toString()).slice(0, MAX_ERROR_CHARS)),
  );
  const exited = once(child, 'exit') as Promise<[number | null]>;
  const started = once(child.stdout, 'data').then(() => 'started' as const);
  const first = await Promise.race([started, exited.then(([code]) => code)]);
  if (first !== 'started') throw new Error(`"${line}" ended with ${String(first)}\n${errors}`);
  child.stdout.resume();
  return {
    stop: async () => {
      child.kill('SIGTERM');
      const [code] = await exited;
      return code;
    },
  };
};

const formatLocation = ({ page, line }: PageBlock): string => `${page}:${line.toString()}`;

const assertExitCode = (
  block: PageBlock,
  expected: number,
  { code, output }: { readonly code: number | null; readonly output: string },
): void => {
  if (code === expected) return;
  const mismatch = `ended with ${String(code)}, not ${expected.toString()}`;
  throw new Error(`the code block at ${formatLocation(block)} ${mismatch}\n${output}`);
};

/** Starts the servers of a block; if one does not start, those that did are stopped. */
const startServers = async (
  lines: readonly string[],
  context: RunContext,
): Promise<readonly ServedProcess[]> => {
  const results = await Promise.allSettled(lines.map((line) => startServer(line, context)));
  const servers = results.flatMap((result) =>
    result.status === 'fulfilled' ? [result.value] : [],
  );
  const failed = results.find((result) => result.status === 'rejected');
  if (failed === undefined) return servers;
  await Promise.all(servers.map(({ stop }) => stop()));
  throw failed.reason;
};

/**
 * Executes one block of a page.
 *
 * @param block - block to execute
 * @param context - directory, environment variables and ports
 * @returns the server processes that the block started
 * @throws Error when an exit code differs from the expected one, or a server exits early
 */
export const runBlock = async (
  block: PageBlock,
  context: RunContext,
): Promise<readonly ServedProcess[]> => {
  const text = context.replacePorts(block.text);
  switch (block.run.kind) {
    case 'commands': {
      const result = await runWithInput(['sh', '-e'], `${COMMAND_FUNCTION}\n${text}`, context);
      assertExitCode(block, block.run.exitCode, result);
      return [];
    }
    case 'script': {
      const result = await runWithInput(['node', '--input-type=module', '-'], text, context);
      assertExitCode(block, 0, result);
      return [];
    }
    case 'serve':
      return startServers(text.trim().split('\n'), context);
    default:
      return assertNever(block.run);
  }
};
