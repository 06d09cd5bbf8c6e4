// Runs the fault soak with consecutive seeds, starting at a given or random one. Exits with 1 when a
// promise was violated and with 64 when the value of an argument is invalid.
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { startSoakPlatform } from '../dist/platform/soakPlatform.fixture.js';
import { runSoak } from '../dist/packages/soak/runSoak.js';

const DEFAULT_SECONDS = 15;
const MS_PER_SECOND = 1_000;
const MAX_VALUE = 2 ** 30;
const USAGE_EXIT = 64;

const print = (line) => {
  process.stdout.write(`${line}\n`);
};

const failUsage = (name, text) => {
  process.stderr.write(
    `invalid value for --${name}: ${text}\nusage: npm run soak -- [--seed N] [--runs N] [--seconds N] [--lane N] [--profile faults|planned]\n`,
  );
  return process.exit(USAGE_EXIT);
};

const readNumber = (name, text) => {
  const value = Number(text);
  return Number.isInteger(value) && value > 0 && value < MAX_VALUE ? value : failUsage(name, text);
};

const readProfile = (text) =>
  text === 'faults' || text === 'planned' ? text : failUsage('profile', text);

const stringOption = { type: 'string' };
const { values } = parseArgs({
  options: {
    seed: stringOption,
    runs: stringOption,
    seconds: stringOption,
    lane: stringOption,
    profile: stringOption,
  },
});
const firstSeed = readNumber('seed', values.seed ?? Math.ceil(Math.random() * 1e6).toString());
const runs = readNumber('runs', values.runs ?? '1');
const durationMs =
  readNumber('seconds', values.seconds ?? DEFAULT_SECONDS.toString()) * MS_PER_SECOND;
// Soaks that run in parallel need separate loopback networks.
const lane = readNumber('lane', values.lane ?? '1');
const profile = readProfile(values.profile ?? 'faults');
// Exits through process.exit, so that the exit handlers of the soak kill its gateway processes.
for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => process.exit(1));
const rootDirectory = mkdtempSync(join(tmpdir(), 'soak-'));
for (let seed = firstSeed; seed < firstSeed + runs; seed += 1) {
  const directory = join(rootDirectory, seed.toString());
  const report = await runSoak({
    seed,
    profile,
    durationMs,
    directory,
    network: `127.80.${lane}`,
    startPlatform: startSoakPlatform,
  });
  const { calls, faults, findings, served } = report;
  print(
    `seed ${seed} (${profile}): ${faults} faults, ${served} of ${calls} requests served, ${findings.length} findings (${directory})`,
  );
  for (const { detail, promise } of findings) print(`  ${promise}: ${detail}`);
  if (findings.length > 0) process.exitCode = 1;
}
