// Runs the fuzzing suites of packages/decisions with a given or random seed. Exits with 1 when a
// violation was found and with 64 when the arguments are invalid.
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

const failWithUsage = (message) => {
  process.stderr.write(
    `${message}\nusage: npm run fuzz -- [--seed N] [--minutes M] [--suite NAME] [--path PATH]\n`,
  );
  process.exit(USAGE_EXIT);
};

const readNumber = (name, text, isValid) => {
  const value = Number(text);
  if (text.trim() === '' || !isValid(value)) failWithUsage(`invalid value for --${name}: ${text}`);
  return value;
};

const parseArguments = () => {
  const stringOption = { type: 'string' };
  const options = {
    seed: stringOption,
    minutes: stringOption,
    suite: stringOption,
    path: stringOption,
  };
  try {
    return parseArgs({ options }).values;
  } catch (error) {
    return failWithUsage(error.message);
  }
};

const values = parseArguments();
const isValidSeed = (value) => Number.isInteger(value) && Math.abs(value) < MAX_SEED;
const randomSeed = Math.floor(Math.random() * MAX_SEED).toString();
const seed = readNumber('seed', values.seed ?? randomSeed, isValidSeed);
const minutes = readNumber('minutes', values.minutes ?? DEFAULT_MINUTES.toString(), (m) => m > 0);
const suites = FUZZ_SUITES.filter(({ name }) => name === (values.suite ?? name));
if (suites.length === 0) {
  failWithUsage(
    `unknown suite ${values.suite}; known suites: ${FUZZ_SUITES.map((s) => s.name).join(', ')}`,
  );
}
if (values.path !== undefined && (values.suite === undefined || values.seed === undefined)) {
  failWithUsage('--path requires --suite and --seed');
}
const inputs = { seed, durationMs: minutes * MS_PER_MINUTE, now: Date.now, print };
const report =
  values.path === undefined
    ? runSuites(suites, inputs)
    : replayPath(suites[0], seed, values.path, print);
for (const [name, runs] of report.runs) print(`${name}: ${runs} runs`);
if (report.violations.length === 0) print('no violations');
else print(`violations found in ${report.violations.length} suites`);
process.exitCode = report.violations.length === 0 ? 0 : 1;
