// Builds what runs on the users' platform: installs the locked libraries in node_modules and compiles
// the gateway's program to target/. It is the build command of deploy/system.toml and uses only modules
// of Node.js, since no library may be installed yet.
//
// An installation or a compilation counts as done only by a record that is written after it. The record
// names what it was made from and holds a digest of the files, so that a part of a result, or a result
// of another checkout or another kind of machine, is never taken for a whole one.
import { spawnSync } from 'node:child_process';
import { createHash } from 'node:crypto';
import {
  existsSync,
  lstatSync,
  mkdirSync,
  readdirSync,
  readFileSync,
  renameSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { join } from 'node:path';

const LIBRARIES = 'node_modules';
const LIBRARIES_RECORD = 'node_modules/.build.json';
const LOCK = 'package-lock.json';
const TARGET = 'target';
const TARGET_RECORD = 'target/.build.json';
/** Folder of a compilation that has not ended, within the target so that it can be moved at once. */
const PARTIAL = 'target/.partial';
/** Folders of the outputs; the one of the program that the deploy file runs is placed last. */
const OUTPUT_FOLDERS = ['packages', 'platform'];
const OUTPUTS = OUTPUT_FOLDERS.map((name) => join(TARGET, name));
const PROGRAM = 'platform/start.cjs';
const COMPILER = 'node_modules/typescript/bin/tsc';
/** With it the compiler would write no output again whose sources are unchanged. */
const OLD_BUILD_INFO = 'target/.tsbuildinfo';
const SOURCES = ['package.json', LOCK, 'tsconfig.json', 'deploy', 'packages', 'platform'];

/** Entries of a folder that others write after its record: tools keep their caches in `.cache`. */
const UNRECORDED = ['.build.json', '.cache'];

/** The programs may run under another user than the build. */
const UMASK = 0o022;

/** Includes hold before `omit` of the environment and of a user's file. */
const INSTALL = [
  'ci',
  '--include=dev',
  '--include=optional',
  '--prefer-offline',
  '--no-fund',
  '--no-audit',
  '--loglevel=error',
];

class BuildError extends Error {}

const listFiles = (path) => {
  if (!lstatSync(path).isDirectory()) return [path];
  return readdirSync(path)
    .filter((name) => !UNRECORDED.includes(name))
    .sort()
    .flatMap((name) => listFiles(join(path, name)));
};

/** Hashes the contents of all files. */
const hashContents = (paths) => {
  const hash = createHash('sha256');
  for (const file of paths.flatMap(listFiles)) {
    const content = readFileSync(file);
    hash.update(`${file} ${content.length}\n`).update(content);
  }
  return hash.digest('hex');
};

/** Hashes names and sizes only: the libraries are 300 MB, which takes seconds to read. */
const hashSizes = (path) => {
  const hash = createHash('sha256');
  for (const file of listFiles(path)) hash.update(`${file} ${lstatSync(file).size}\n`);
  return hash.digest('hex');
};

/** Compares the text of a record with the one that a complete result would have now. */
const isRecorded = (path, describe) =>
  existsSync(path) && readFileSync(path, 'utf8') === JSON.stringify(describe());

const describeLibraries = () => ({
  machine: `${process.platform} ${process.arch} ${process.versions.modules}`,
  locked: hashContents(['package.json', LOCK]),
  files: hashSizes(LIBRARIES),
});

const describeTarget = () => ({
  sources: hashContents(SOURCES),
  files: hashContents(OUTPUTS.filter((path) => existsSync(path))),
});

const runProgram = (name, program, args) => {
  // In production npm leaves the compiler out.
  const env = { ...process.env, NODE_ENV: '' };
  const { error, signal, status } = spawnSync(program, args, { env, stdio: 'inherit' });
  if (error !== undefined) throw new BuildError(`${name} could not be run: ${error.message}`);
  if (status !== 0) throw new BuildError(`${name} ended with ${signal ?? `exit code ${status}`}`);
};

const readVersion = (folder) => {
  try {
    return JSON.parse(readFileSync(join(folder, 'package.json'), 'utf8')).version;
  } catch {
    // Reported by the caller as a library that is missing.
    return 'none';
  }
};

/** Checks that all locked libraries are there but those for other kinds of machines. */
const checkLibraries = () => {
  const { packages } = JSON.parse(readFileSync(LOCK, 'utf8'));
  for (const [folder, { link, optional, version }] of Object.entries(packages)) {
    if (folder === '' || link || optional) continue;
    const found = readVersion(folder);
    if (found !== version)
      throw new BuildError(`npm ci left ${folder} at version ${found} in place of ${version}`);
  }
};

const installLibraries = () => {
  runProgram('npm ci', 'npm', INSTALL);
  checkLibraries();
  writeFileSync(LIBRARIES_RECORD, JSON.stringify(describeLibraries()));
};

/** Removes the outputs. Other entries of the target are not the build's: the bench keeps its lock there. */
const removeOutputs = () => {
  for (const path of [TARGET_RECORD, ...OUTPUTS.toReversed(), PARTIAL, OLD_BUILD_INFO])
    rmSync(path, { recursive: true, force: true });
};

const compileProgram = () => {
  mkdirSync(PARTIAL, { recursive: true });
  const buildInfo = join(PARTIAL, '.tsbuildinfo');
  const outputs = ['--outDir', PARTIAL, '--tsBuildInfoFile', buildInfo];
  runProgram('tsc', process.execPath, [COMPILER, '-p', 'deploy/tsconfig.json', ...outputs]);
  if (!existsSync(join(PARTIAL, PROGRAM))) throw new BuildError(`tsc wrote no ${PROGRAM}`);
  for (const name of OUTPUT_FOLDERS) renameSync(join(PARTIAL, name), join(TARGET, name));
  rmSync(PARTIAL, { recursive: true });
  writeFileSync(TARGET_RECORD, JSON.stringify(describeTarget()));
};

process.umask(UMASK);
try {
  const installed = isRecorded(LIBRARIES_RECORD, describeLibraries);
  if (!installed || !isRecorded(TARGET_RECORD, describeTarget)) {
    // A build that fails must not leave the program of an earlier one.
    removeOutputs();
    if (!installed) installLibraries();
    compileProgram();
  }
} catch (error) {
  if (!(error instanceof BuildError)) throw error;
  console.error(`build: ${error.message}`);
  process.exitCode = 1;
}
