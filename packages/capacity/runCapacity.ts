import { estimateLine } from './fit/estimateLine.js';
import { MEASURES } from './measures/catalogue.js';
import { CONFIGURATION_EXPERIMENTS } from './measures/configuration.js';
import { DAEMON_REST_EXPERIMENTS, DAEMON_STREAM_EXPERIMENTS } from './measures/daemons.js';
import { ENDPOINT_EXPERIMENTS } from './measures/endpoints.js';
import { FAIRNESS_EXPERIMENTS } from './measures/fairness.js';
import { HEARTBEAT_CALL_EXPERIMENTS } from './measures/heartbeatCalls.js';
import { HEARTBEAT_EXPERIMENTS } from './measures/heartbeats.js';
import { LIST_EXPERIMENTS } from './measures/instanceList.js';
import { INTENT_EXPERIMENTS } from './measures/intents.js';
import { LOG_EXPERIMENTS } from './measures/logReads.js';
import { MOVE_EXPERIMENTS } from './measures/moves.js';
import { PLACEMENT_EXPERIMENTS } from './measures/placement.js';
import { STREAM_EXPERIMENTS } from './measures/streams.js';
import { SURVIVAL_EXPERIMENTS } from './measures/survival.js';
import type { Experiment, MeasuredValues, MeasureResult, Point } from './types.js';
import { assertNever } from '../core/assertNever.js';

/**
 * `modules` measures single modules in this process; `streams` and `rest` start clusters of
 * processes.
 */
export type Part = 'modules' | 'streams' | 'rest';

/**
 * Experiments of the part `modules`. Memory is measured before the calls over loopback, because
 * their connections are released late and would count as state.
 */
const MODULE_EXPERIMENTS: readonly Experiment[] = [
  ...SURVIVAL_EXPERIMENTS,
  ...FAIRNESS_EXPERIMENTS,
  ...STREAM_EXPERIMENTS,
  ...INTENT_EXPERIMENTS,
  ...CONFIGURATION_EXPERIMENTS,
  ...HEARTBEAT_EXPERIMENTS,
  ...MOVE_EXPERIMENTS,
  ...PLACEMENT_EXPERIMENTS,
  ...ENDPOINT_EXPERIMENTS,
  ...LIST_EXPERIMENTS,
  ...LOG_EXPERIMENTS,
  ...HEARTBEAT_CALL_EXPERIMENTS,
];

/** Parts of the bench in the order in which they run. */
export const PARTS: readonly Part[] = ['modules', 'streams', 'rest'];

/**
 * Lists the experiments of one part of the bench.
 *
 * @param part - part to run
 * @returns its experiments in order
 */
export const listExperiments = (part: Part): readonly Experiment[] => {
  switch (part) {
    case 'modules':
      return MODULE_EXPERIMENTS;
    case 'streams':
      return DAEMON_STREAM_EXPERIMENTS;
    case 'rest':
      return DAEMON_REST_EXPERIMENTS;
    default:
      return assertNever(part);
  }
};

interface SizedValues {
  readonly size: number;
  readonly values: MeasuredValues;
}

/**
 * Fits a line to the values of each measure.
 *
 * @param measured - measured values of each size
 * @returns one result for each measure with values, in the order of the catalogue
 * @throws RangeError when a measure has values of one size only
 */
export const toResults = (measured: readonly SizedValues[]): readonly MeasureResult[] =>
  MEASURES.flatMap(({ name, size: sizeUnit, value: valueUnit }) => {
    const points = measured.flatMap(({ size, values }): readonly Point[] => {
      const value = values[name];
      return value === undefined ? [] : [{ size, value }];
    });
    if (points.length === 0) return [];
    return [{ measure: name, sizeUnit, valueUnit, points, line: estimateLine(points) }];
  });

/**
 * Runs experiments one after another, each at all its sizes.
 *
 * @param experiments - experiments in the order in which they run
 * @param notify - called with the name of each experiment before it runs
 * @returns one result for each measure, with its fitted line
 */
export const runExperiments = async (
  experiments: readonly Experiment[],
  notify: (name: string) => void,
): Promise<readonly MeasureResult[]> => {
  const measured: SizedValues[] = [];
  for (const { name, sizes, measure } of experiments) {
    notify(name);
    for (const size of sizes) measured.push({ size, values: await measure(size) });
  }
  return toResults(measured);
};
