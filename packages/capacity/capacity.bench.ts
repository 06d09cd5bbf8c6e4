/**
 * Entry point of `npm run bench:capacity`: measures how state, messages, time and memory grow with
 * the sizes of docs/CAPACITY.md. An argument names the part to run: `modules`, `streams` or `rest`;
 * without one, all parts run.
 */
import { execFileSync } from 'node:child_process';
import { mkdirSync, writeFileSync } from 'node:fs';
import { cpus, totalmem } from 'node:os';
import { RESULTS_DIRECTORY } from './constants.js';
import { formatTable } from './formatTable.js';
import { listExperiments, PARTS, runExperiments } from './runCapacity.js';
import type { Part } from './runCapacity.js';
import type { RunOrigin } from './types.js';

const readCommit = (): string =>
  execFileSync('git', ['describe', '--always', '--dirty', '--abbrev=12'], {
    encoding: 'utf8',
  }).trim();

const readOrigin = (): RunOrigin => ({
  startedAt: new Date().toISOString(),
  commit: readCommit(),
  cores: cpus().length,
  memoryBytes: totalmem(),
  processor: cpus()[0]?.model ?? 'unknown',
  node: process.version,
});

const parseParts = (): readonly Part[] => {
  const [name] = process.argv.slice(2);
  if (name === undefined) return PARTS;
  const part = PARTS.find((known) => known === name);
  if (part === undefined) throw new Error(`unknown part ${name}; known: ${PARTS.join(', ')}`);
  return [part];
};

const parts = parseParts();
const origin = readOrigin();
const results = await runExperiments(parts.flatMap(listExperiments), (name) => {
  console.error(`measuring: ${name}`);
});
mkdirSync(RESULTS_DIRECTORY, { recursive: true });
const timestamp = origin.startedAt.replaceAll(/[:.]/g, '-');
const path = `${RESULTS_DIRECTORY}/capacity-${parts.join('-')}-${timestamp}.json`;
writeFileSync(path, `${JSON.stringify({ bench: 'capacity', parts, origin, results }, null, 2)}\n`);
console.log(formatTable(results));
console.log(`\n${JSON.stringify(origin)}\nwrote ${path}`);
