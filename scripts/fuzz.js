// Runs the fuzzing suites of packages/decisions with a fresh or given seed. Exits with 1 when a
// violation was found and with 64 when the arguments are wrong.
import { parseArgs } from 'node:util';
import { FUZZ_SUITES } from '../dist/packages/decisions/fuzz/suites.fixture.js';
import { replayPath, runSuites } from '../dist/packages/decisions/fuzz/runSuites.js';

const DEFAULT_MINUTES = 3;
const MS_PER_MINUTE = 60_000;
const MAX_SEED = 2 ** 31;
const USAGE_EXIT = 64;

const print = (line) => {
  process.stdout.write(`${line}\n`);
};

const refuseUsage = (text) => {
  process.stderr.write(
    `${text}\nusage: npm run fuzz -- [--seed N] [--minutes M] [--suite NAME] [--path PATH]\n`,
  );
  process.exit(USAGE_EXIT);
};

const readNumber = (name, text, isValid) => {
  const value = Number(text);
  if (text.trim() === '' || !isValid(value)) refuseUsage(`--${name} ${text} is not valid`);
  return value;
};

const readArguments = () => {
  const string = { type: 'string' };
  const options = { seed: string, minutes: string, suite: string, path: string };
  try {
    return parseArgs({ options }).values;
  } catch (error) {
    return refuseUsage(error.message);
  }
};

const given = readArguments();
const isSeed = (value) => Number.isInteger(value) && Math.abs(value) < MAX_SEED;
const fresh = Math.floor(Math.random() * MAX_SEED).toString();
const seed = readNumber('seed', given.seed ?? fresh, isSeed);
const minutes = readNumber('minutes', given.minutes ?? DEFAULT_MINUTES.toString(), (m) => m > 0);
const suites = FUZZ_SUITES.filter(({ name }) => name === (given.suite ?? name));
if (suites.length === 0) {
  refuseUsage(`no suite ${given.suite}; there are ${FUZZ_SUITES.map((s) => s.name).join(', ')}`);
}
if (given.path !== undefined && (given.suite === undefined || given.seed === undefined)) {
  refuseUsage('--path needs --suite and --seed');
}
const inputs = { seed, durationMs: minutes * MS_PER_MINUTE, now: Date.now, print };
const report =
  given.path === undefined
    ? runSuites(suites, inputs)
    : replayPath(suites[0], seed, given.path, print);
for (const [name, runs] of report.runs) print(`${name}: ${runs} runs`);
if (report.violations.length === 0) print('no violation');
else print(`${report.violations.length} suites violated`);
process.exitCode = report.violations.length === 0 ? 0 : 1;
