import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

const RESULTS_DIRECTORY = 'results';

/**
 * Writes a result under `results/`, which is not committed.
 *
 * @param name - name of the bench
 * @param report - result
 * @returns the path of the file
 */
export const writeResult = (name: string, report: object): string => {
  mkdirSync(RESULTS_DIRECTORY, { recursive: true });
  const path = join(RESULTS_DIRECTORY, `${name}.json`);
  writeFileSync(path, `${JSON.stringify(report, undefined, 2)}\n`);
  return path;
};
