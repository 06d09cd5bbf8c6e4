import { measureMemory } from '../sampling/memory.js';
import type { Experiment } from '../types.js';
import { createSurvivalTable } from '../../decisions/survival/survivalTable.js';

const OBSERVATIONS_PER_KEY = 3;

const measureTable = (keys: number) => {
  const { bytes, state } = measureMemory(() => {
    const table = createSurvivalTable();
    for (let index = 0; index < keys * OBSERVATIONS_PER_KEY; index += 1) {
      const customer = `customer-${(index % keys).toString()}`;
      table.observeFinished({ className: 'memo', customer, version: 'v1' }, 100 + (index % 900));
    }
    // A key also holds its curve once the curve was requested.
    for (let index = 0; index < keys; index += 1) {
      table.getCurve({
        className: 'memo',
        customer: `customer-${index.toString()}`,
        version: 'v1',
      });
    }
    return table;
  });
  if (state.countKeys() !== keys) throw new Error('a key was dropped');
  return { 'survival.state': bytes };
};

/** Length estimates by class, customer and version. */
export const SURVIVAL_EXPERIMENTS: readonly Experiment[] = [
  { name: 'survival table', sizes: [256, 1_024, 4_096], measure: measureTable },
];
