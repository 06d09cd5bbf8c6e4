/** Measures how state, messages, time and memory grow with the sizes of docs/CAPACITY.md. */
import { execFileSync } from 'node:child_process';
import { mkdirSync, writeFileSync } from 'node:fs';
import { cpus, totalmem } from 'node:os';
import { RESULTS_DIRECTORY } from './constants.js';
import { formatTable } from './formatTable.js';
import { EXPERIMENTS, runExperiments } from './runCapacity.js';
import type { RunOrigin } from './types.js';

const readCommit = (): string =>
  execFileSync('git', ['describe', '--always', '--dirty', '--abbrev=12'], {
    encoding: 'utf8',
  }).trim();

const describeOrigin = (): RunOrigin => ({
  startedAt: new Date().toISOString(),
  commit: readCommit(),
  cores: cpus().length,
  memoryBytes: totalmem(),
  processor: cpus()[0]?.model ?? 'unknown',
  node: process.version,
});

const origin = describeOrigin();
const results = await runExperiments(EXPERIMENTS, (name) => {
  console.error(`measuring: ${name}`);
});
mkdirSync(RESULTS_DIRECTORY, { recursive: true });
const stamp = origin.startedAt.replaceAll(/[:.]/g, '-');
const path = `${RESULTS_DIRECTORY}/capacity-${stamp}.json`;
writeFileSync(path, `${JSON.stringify({ bench: 'capacity', origin, results }, null, 2)}\n`);
console.log(formatTable(results));
console.log(`\n${JSON.stringify(origin)}\nwritten to ${path}`);
