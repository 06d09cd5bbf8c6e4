import test from 'ava';
import fc from 'fast-check';
import { buildCommandList, runCommands } from './testing/fuzz.js';
import type { Mechanisms, Statistics } from './testing/types.js';
import { createSimulation } from './testing/simulation.js';

// A longer run: FUZZ_SEED=7 FUZZ_RUNS=100000 npx ava <this file> --timeout=1h
const SEED = Number(process.env['FUZZ_SEED'] ?? 20_261_204);
const RUNS = Number(process.env['FUZZ_RUNS'] ?? 1_500);

const ALL_MECHANISMS: Mechanisms = {
  fence: 'enabled',
  readBack: 'enabled',
  carryForward: 'enabled',
};

const addStatistics = (sum: Statistics, next: Statistics): void => {
  for (const name of Object.keys(sum) as (keyof Statistics)[]) sum[name] += next[name];
};

for (const profile of ['faults', 'retention'] as const) {
  // Guards against a key that runs twice, and against a request reported as not-run that ran, or as
  // ran that did not. These arise from outages, lost answers, late appends, pauses, restarts and
  // retention.
  test(`a key runs at most once and every verdict is true (${profile})`, (t) => {
    const sum = createSimulation(ALL_MECHANISMS).statistics;
    fc.assert(
      fc.property(buildCommandList(profile), (commands) => {
        const simulation = runCommands(commands, ALL_MECHANISMS);
        addStatistics(sum, simulation.statistics);
        if (simulation.violations.length > 0) throw new Error(simulation.violations.join('; '));
      }),
      { seed: SEED, numRuns: RUNS },
    );
    t.log(JSON.stringify(sum));
    // Without this check, a run in which nothing happens would pass as well.
    for (const name of Object.keys(sum) as (keyof Statistics)[])
      t.true(sum[name] > RUNS / 10, name);
  });
}

for (const name of ['fence', 'readBack', 'carryForward'] as const) {
  // Guards against an oracle or a command list that does not detect a missing mechanism.
  test(`with ${name} disabled the oracle finds a key that ran twice`, (t) => {
    const mechanisms: Mechanisms = { ...ALL_MECHANISMS, [name]: 'disabled' };
    const details = fc.check(
      fc.property(buildCommandList('retention'), (commands) => {
        const { violations } = runCommands(commands, mechanisms);
        return !violations.some((violation) => /^key .* ran \d+ times$/.test(violation));
      }),
      { seed: SEED, numRuns: Math.max(RUNS, 1_500), endOnFailure: true },
    );
    t.true(details.failed);
    t.log(`found after ${details.numRuns.toString()} runs`);
  });
}
