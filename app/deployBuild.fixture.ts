import { execFile } from 'node:child_process';
import {
  chmodSync,
  cpSync,
  existsSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import type { ExecutionContext } from 'ava';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));

/**
 * Compiler of the stand-in package: copies each source as its output. Like the real one, it keeps a
 * build-info file, and writes nothing when the sources are those of its newest run.
 */
const COMPILER = `
const { cpSync, existsSync, mkdirSync, readFileSync, writeFileSync } = require('node:fs');
const { dirname, join } = require('node:path');
const get = (name, fallback) => {
  const at = process.argv.indexOf(name);
  return at < 0 ? fallback : process.argv[at + 1];
};
const out = get('--outDir', 'target');
const info = get('--tsBuildInfoFile', 'target/.tsbuildinfo');
const files = [
  ['platform/start.cts', 'platform/start.cjs'],
  ['packages/part.ts', 'packages/part.js'],
];
const text = files.map(([source]) => readFileSync(source, 'utf8')).join('');
const copy = ([source, output]) => {
  mkdirSync(dirname(join(out, output)), { recursive: true });
  cpSync(source, join(out, output));
};
if (text.includes('SYNTAX ERROR')) {
  files.slice(1).forEach(copy);
  process.exit(2);
}
if (!existsSync(info) || readFileSync(info, 'utf8') !== text) {
  files.forEach(copy);
  writeFileSync(info, text);
}
`;

/** Installs the two stand-in packages of the lock file as `npm ci` does, and counts its runs. */
const NPM = `#!/usr/bin/env node
const { appendFileSync, chmodSync, existsSync, mkdirSync, rmSync, writeFileSync } = require('node:fs');
appendFileSync('calls.txt', process.argv.slice(2).join(' ') + '\\n');
const fault = existsSync('npm-fault.txt');
const omitsDev = process.env.NODE_ENV === 'production' || process.env.npm_config_omit === 'dev';
const dev = !omitsDev || process.argv.includes('--include=dev');
rmSync('node_modules', { recursive: true, force: true });
const add = (name, file, text) => {
  mkdirSync('node_modules/' + name + '/bin', { recursive: true });
  writeFileSync('node_modules/' + name + '/package.json', JSON.stringify({ name, version: '1.0.0' }));
  writeFileSync('node_modules/' + name + '/' + file, text);
};
add('library', 'index.js', '1');
if (fault) process.exit(1);
if (dev) {
  add('typescript', 'bin/tsc', require('node:fs').readFileSync('compiler.txt', 'utf8'));
  mkdirSync('node_modules/.bin');
  writeFileSync('node_modules/.bin/tsc', '#!/bin/sh\\nexec node node_modules/typescript/bin/tsc "$@"\\n');
  chmodSync('node_modules/.bin/tsc', 0o755);
}
writeFileSync('node_modules/.package-lock.json', '{}');
`;

/** Runs the local compiler, or else a package of that name that is no compiler, as npx does. */
const NPX = `#!/bin/sh
[ "$1" = tsc ] || exit 1
shift
[ -x node_modules/.bin/tsc ] && exec node_modules/.bin/tsc "$@"
echo "This is not the tsc command you are looking for"
exit 1
`;

const LOCK = {
  lockfileVersion: 3,
  packages: {
    '': {},
    'node_modules/library': { version: '1.0.0' },
    'node_modules/typescript': { version: '1.0.0', dev: true },
    'node_modules/other-machine': { version: '1.0.0', optional: true, os: ['none'] },
  },
};

/** How a build ended. */
export interface BuildEnd {
  readonly code: unknown;
  readonly output: string;
}

/** A small tree with the build command of the deploy file and stand-ins of its programs. */
export interface BuildTree {
  /** Runs the build command in a shell, as the platform does. */
  readonly build: (env?: Readonly<Record<string, string>>, prefix?: string) => Promise<BuildEnd>;
  readonly has: (file: string) => boolean;
  readonly read: (file: string) => string;
  readonly write: (file: string, text: string) => void;
  readonly remove: (file: string) => void;
  /** Returns the number of installations so far. */
  readonly countInstalls: () => number;
  readonly path: string;
}

const readBuildCommand = (): string => {
  const [, command] =
    /^build = "((?:[^"\\]|\\.)*)"$/m.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')) ??
    [];
  return JSON.parse(`"${command ?? ''}"`) as string;
};

/**
 * Creates a clean checkout of a small tree, with the build command of the deploy file.
 *
 * @param t - test that removes it at its end
 * @returns the tree
 */
export const createBuildTree = (t: ExecutionContext): BuildTree => {
  const path = mkdtempSync(join(tmpdir(), 'build-'));
  t.teardown(() => {
    rmSync(path, { recursive: true, force: true });
  });
  const write = (file: string, text: string): void => {
    mkdirSync(dirname(join(path, file)), { recursive: true });
    writeFileSync(join(path, file), text);
  };
  const writeProgram = (file: string, text: string): void => {
    write(file, text);
    chmodSync(join(path, file), 0o755);
  };
  write('package.json', '{"type":"module"}');
  write('package-lock.json', JSON.stringify(LOCK));
  write('tsconfig.json', '{}');
  write('compiler.txt', COMPILER);
  write('platform/start.cts', 'main 1');
  write('packages/part.ts', 'part 1');
  write('programs/package.json', '{"type":"commonjs"}');
  writeProgram('programs/npm', NPM);
  writeProgram('programs/npx', NPX);
  cpSync(join(ROOT, 'scripts'), join(path, 'scripts'), { recursive: true });
  cpSync(join(ROOT, 'deploy'), join(path, 'deploy'), { recursive: true });
  const command = readBuildCommand();
  const searchPath = `${join(path, 'programs')}:${dirname(process.execPath)}:/usr/bin:/bin`;
  return {
    path,
    write,
    build: (env = {}, prefix = '') =>
      new Promise((resolve) => {
        execFile(
          '/bin/sh',
          ['-c', `${prefix}${command}`],
          { cwd: path, env: { PATH: searchPath, HOME: path, ...env } },
          (error, stdout, stderr) => {
            resolve({ code: error?.code ?? 0, output: stdout + stderr });
          },
        );
      }),
    has: (file) => existsSync(join(path, file)),
    read: (file) => readFileSync(join(path, file), 'utf8'),
    remove: (file) => {
      rmSync(join(path, file), { recursive: true, force: true });
    },
    countInstalls: () =>
      existsSync(join(path, 'calls.txt'))
        ? readFileSync(join(path, 'calls.txt'), 'utf8').split('\n').length - 1
        : 0,
  };
};
