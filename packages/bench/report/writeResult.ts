import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

const RESULTS_DIRECTORY = 'results';

/**
 * Writes a report as JSON to the directory `results`, which is not committed. An earlier report of
 * the same name is overwritten.
 *
 * @param name - file name without its extension
 * @param report - report to write
 * @returns the path of the file
 */
export const writeResult = (name: string, report: object): string => {
  mkdirSync(RESULTS_DIRECTORY, { recursive: true });
  const path = join(RESULTS_DIRECTORY, `${name}.json`);
  writeFileSync(path, `${JSON.stringify(report, undefined, 2)}\n`);
  return path;
};
