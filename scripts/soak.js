// Runs the fault soak with given or fresh seeds, one after the other. Exits with 1 when a promise was
// broken and with 64 when the arguments are wrong.
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { startSoakPlatform } from '../dist/platform/soakPlatform.fixture.js';
import { runSoak } from '../dist/packages/soak/runSoak.js';

const DEFAULT_SECONDS = 15;
const MS_PER_SECOND = 1_000;
const MAX_SEED = 2 ** 30;
const USAGE_EXIT = 64;

const print = (line) => {
  process.stdout.write(`${line}\n`);
};

const readNumber = (name, text) => {
  const value = Number(text);
  if (Number.isInteger(value) && value > 0 && value < MAX_SEED) return value;
  process.stderr.write(
    `--${name} ${text} is not valid\nusage: npm run soak -- [--seed N] [--runs N] [--seconds N] [--lane N]\n`,
  );
  return process.exit(USAGE_EXIT);
};

const string = { type: 'string' };
const { values } = parseArgs({
  options: { seed: string, runs: string, seconds: string, lane: string },
});
const first = readNumber('seed', values.seed ?? Math.ceil(Math.random() * 1e6).toString());
const runs = readNumber('runs', values.runs ?? '1');
const durationMs =
  readNumber('seconds', values.seconds ?? DEFAULT_SECONDS.toString()) * MS_PER_SECOND;
// Soaks that run side by side need a loopback network each.
const lane = readNumber('lane', values.lane ?? '1');
for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => process.exit(1));
const root = mkdtempSync(join(tmpdir(), 'soak-'));
for (let seed = first; seed < first + runs; seed += 1) {
  const directory = join(root, seed.toString());
  const report = await runSoak({
    seed,
    durationMs,
    directory,
    network: `127.80.${lane}`,
    startPlatform: startSoakPlatform,
  });
  const { calls, faults, findings, served } = report;
  print(
    `seed ${seed}: ${faults} faults, ${served} of ${calls} requests served, ${findings.length} findings (${directory})`,
  );
  for (const { detail, promise } of findings) print(`  ${promise}: ${detail}`);
  if (findings.length > 0) process.exitCode = 1;
}
