import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { PLOT_NAMES, buildPlotSpec } from './plots/plotSpecs.js';
import { renderPlot } from './plots/renderPlot.js';
import type { RunResult } from './results/types.js';

/**
 * Writes `results.json` and an SVG file for each plot.
 *
 * @param directory - target directory, created if it does not exist
 * @param results - one result for each policy
 * @returns the paths of the written files
 */
export const writeReport = async (
  directory: string,
  results: readonly RunResult[],
): Promise<readonly string[]> => {
  await mkdir(directory, { recursive: true });
  const path = join(directory, 'results.json');
  await writeFile(path, `${JSON.stringify(results, undefined, 2)}\n`);
  const paths = [path];
  for (const name of PLOT_NAMES) {
    const plotPath = join(directory, `${name}.svg`);
    await writeFile(plotPath, await renderPlot(buildPlotSpec(name, results)));
    paths.push(plotPath);
  }
  return paths;
};
