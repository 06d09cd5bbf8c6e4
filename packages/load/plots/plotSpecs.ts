import type { TopLevelSpec } from 'vega-lite';
import type { Percentiles } from '../requests/measures.js';
import type { ClassResult, RunResult } from '../results/types.js';
import { assertNever } from '../../core/assertNever.js';

/** Names of the plots of a report. */
export type PlotName =
  | 'first-token'
  | 'token-gap'
  | 'stall-time'
  | 'preemptions'
  | 'requests'
  | 'version-share'
  | 'engine-memory';

export const PLOT_NAMES: readonly PlotName[] = [
  'first-token',
  'token-gap',
  'stall-time',
  'preemptions',
  'requests',
  'version-share',
  'engine-memory',
];

type Rows = readonly object[];

const PERCENTILES = ['p50', 'p95', 'p99', 'p999'] as const satisfies readonly (keyof Percentiles)[];

const VEGA_LITE_SCHEMA_URL = 'https://vega.github.io/schema/vega-lite/v5.json';

const FACET_WIDTH = 320;
const FACET_HEIGHT = 160;

const listPercentileRows = (
  results: readonly RunResult[],
  selectPercentiles: (result: ClassResult) => Percentiles,
): Rows =>
  results.flatMap(({ policy, classes }) =>
    classes.flatMap((result) => {
      const percentiles = selectPercentiles(result);
      if (percentiles.count === 0) return [];
      return PERCENTILES.map((percentile) => ({
        policy: policy.kind,
        className: result.className,
        percentile,
        ms: Math.max(0.1, percentiles[percentile]),
      }));
    }),
  );

const buildPercentileSpec = (title: string, values: Rows): TopLevelSpec => ({
  $schema: VEGA_LITE_SCHEMA_URL,
  title,
  data: { values: [...values] },
  facet: { field: 'className', type: 'nominal', title: 'class' },
  columns: 2,
  spec: {
    width: FACET_WIDTH,
    height: FACET_HEIGHT,
    mark: { type: 'line', point: true },
    encoding: {
      x: { field: 'percentile', type: 'ordinal', sort: [...PERCENTILES], title: 'percentile' },
      y: { field: 'ms', type: 'quantitative', scale: { type: 'log' }, title: 'ms' },
      color: { field: 'policy', type: 'nominal' },
    },
  },
  resolve: { scale: { y: 'independent' } },
});

const buildBarSpec = (title: string, values: Rows, field: string, unit: string): TopLevelSpec => ({
  $schema: VEGA_LITE_SCHEMA_URL,
  title,
  data: { values: [...values] },
  width: FACET_WIDTH,
  height: FACET_HEIGHT,
  mark: 'bar',
  encoding: {
    x: { field: 'group', type: 'nominal', title: null },
    xOffset: { field: 'policy', type: 'nominal' },
    y: { field, type: 'quantitative', title: unit },
    color: { field: 'policy', type: 'nominal' },
  },
});

const buildTimeSpec = (
  title: string,
  values: Rows,
  mark: 'area' | 'line',
  field: string,
  series: string,
): TopLevelSpec => ({
  $schema: VEGA_LITE_SCHEMA_URL,
  title,
  data: { values: [...values] },
  facet: { row: { field: 'policy', type: 'nominal' } },
  spec: {
    width: FACET_WIDTH * 2,
    height: FACET_HEIGHT,
    mark,
    encoding: {
      x: { field: 'seconds', type: 'quantitative', title: 'seconds since the start' },
      y: {
        field,
        type: 'quantitative',
        title: field,
        ...(mark === 'area' ? { aggregate: 'sum' as const, stack: 'zero' as const } : {}),
      },
      color: { field: series, type: 'nominal' },
    },
  },
});

const MILLIS_PER_SECOND = 1_000;

const listSeriesRows = <Point extends { readonly atMs: number }>(
  results: readonly RunResult[],
  selectSeries: (result: RunResult) => readonly Point[],
): Rows =>
  results.flatMap((result) =>
    selectSeries(result).map((point) => ({
      ...point,
      seconds: point.atMs / MILLIS_PER_SECOND,
      policy: result.policy.kind,
    })),
  );

const listStallRows = (results: readonly RunResult[]): Rows =>
  results.flatMap(({ policy, classes }) =>
    classes
      .filter(({ kind }) => kind === 'generation')
      .map(({ className, stallMs }) => ({
        policy: policy.kind,
        group: className,
        seconds: stallMs / MILLIS_PER_SECOND,
      })),
  );

const listPreemptionRows = (results: readonly RunResult[]): Rows =>
  results.map(({ policy, preemptions }) => ({ policy: policy.kind, group: 'all', preemptions }));

/**
 * Builds the specification of a plot.
 *
 * @param name - name of the plot
 * @param results - one result for each policy
 * @returns the vega-lite specification
 */
export const buildPlotSpec = (name: PlotName, results: readonly RunResult[]): TopLevelSpec => {
  switch (name) {
    case 'first-token': {
      const rows = listPercentileRows(results, ({ firstToken }) => firstToken);
      return buildPercentileSpec('Time to first token, from the intended arrival', rows);
    }
    case 'token-gap': {
      const rows = listPercentileRows(results, ({ tokenGap }) => tokenGap);
      return buildPercentileSpec('Time between tokens', rows);
    }
    case 'stall-time':
      return buildBarSpec('Stall time', listStallRows(results), 'seconds', 'seconds');
    case 'preemptions': {
      const rows = listPreemptionRows(results);
      return buildBarSpec('Preemptions at the engines', rows, 'preemptions', 'preemptions');
    }
    case 'requests': {
      const rows = listSeriesRows(results, ({ series }) => series.outcomes);
      return buildTimeSpec('Requests by outcome', rows, 'area', 'count', 'outcome');
    }
    case 'version-share': {
      const rows = listSeriesRows(results, ({ series }) => series.versions);
      return buildTimeSpec('Share of each version', rows, 'line', 'share', 'version');
    }
    case 'engine-memory': {
      const rows = listSeriesRows(results, ({ series }) => series.engines);
      return buildTimeSpec('Memory held by sequences', rows, 'line', 'memoryShare', 'policy');
    }
    default:
      return assertNever(name);
  }
};
