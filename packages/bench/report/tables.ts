import type { PathReport } from './types.js';
import type { CapacityReport } from '../measureCapacity.js';
import type { LatencyReport } from '../measureLatency.js';
import type { StartupReport } from '../measureStartup.js';

type Row = readonly string[];

const BYTES_PER_MB = 1024 * 1024;
const BYTES_PER_KB = 1024;

const toMegabytes = (bytes: number): string => (bytes / BYTES_PER_MB).toFixed(1);
const toKilobytes = (bytes: number): string => (bytes / BYTES_PER_KB).toFixed(1);

/**
 * Renders rows as an aligned Markdown table.
 *
 * @param head - names of the columns
 * @param rows - cells of each row
 * @returns the table, without a newline at its end
 */
export const renderTable = (head: Row, rows: readonly Row[]): string => {
  const widths = head.map((name, column) =>
    Math.max(name.length, ...rows.map((row) => row[column]?.length ?? 0)),
  );
  const renderRow = (row: Row): string =>
    `| ${row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(' | ')} |`;
  const separator = `|${widths.map((width) => '-'.repeat(width + 2)).join('|')}|`;
  return [renderRow(head), separator, ...rows.map(renderRow)].join('\n');
};

const renderLatency = ({ comparisons, rounds }: LatencyReport): string => {
  const comparisonRows = comparisons.map(
    ({ measure, percentile, directMs, pathMs, addedMs, ratio }): Row => [
      measure,
      percentile,
      directMs.toFixed(2),
      pathMs.toFixed(2),
      addedMs.toFixed(2),
      ratio.toFixed(3),
    ],
  );
  const roundRows = rounds.map((round, index): Row => [
    (index + 1).toString(),
    round.route,
    round.firstToken.p50.toFixed(2),
    round.firstToken.p99.toFixed(2),
    round.gap.p50.toFixed(2),
    round.gap.p99.toFixed(2),
    round.finished.toString(),
    round.failed.toString(),
    round.entryCores.toFixed(2),
    round.endpointCores.toFixed(2),
    round.clientCores.toFixed(2),
    round.clientDelay.p99.toFixed(2),
  ]);
  const head = ['measure', 'percentile', 'direct ms', 'path ms', 'added ms', 'ratio'];
  const roundHead = [
    ...['round', 'route', 'first p50', 'first p99', 'gap p50', 'gap p99', 'finished', 'failed'],
    ...['entry cores', 'endpoint cores', 'client cores', 'client delay p99 ms'],
  ];
  return `${renderTable(head, comparisonRows)}\n\n${renderTable(roundHead, roundRows)}`;
};

const renderCapacity = ({ idle, holds }: CapacityReport): string => {
  const rows = holds.map((usage): Row => [
    usage.streams.toString(),
    toMegabytes(usage.memory.rssMaxBytes),
    toMegabytes(usage.memory.heapMinBytes),
    toMegabytes(usage.memory.externalMaxBytes),
    toKilobytes(usage.rssBytesPerStream),
    toKilobytes(usage.heapBytesPerStream),
    usage.entryCores.toFixed(2),
    usage.entryCpuMsPerStreamSecond.toFixed(2),
    usage.entryCpuMicrosPerToken.toFixed(1),
    usage.tokensPerSecond.toFixed(0),
    usage.gap.p50.toFixed(1),
    usage.gap.p99.toFixed(1),
    usage.clientCores.toFixed(2),
    usage.clientDelay.p99.toFixed(2),
  ]);
  const idleRow: Row = [
    ...['0', toMegabytes(idle.rssMaxBytes), toMegabytes(idle.heapMinBytes)],
    toMegabytes(idle.externalMaxBytes),
    ...Array.from({ length: 10 }, () => '-'),
  ];
  const head = [
    ...['streams', 'RSS MB', 'heap MB', 'external MB', 'RSS KB/stream', 'heap KB/stream'],
    ...['entry cores', 'CPU ms/s/stream', 'CPU us/token', 'tokens/s', 'gap p50', 'gap p99'],
    ...['client cores', 'client delay p99 ms'],
  ];
  return renderTable(head, [idleRow, ...rows]);
};

const renderStartup = ({ command, commandMs, readyMs }: StartupReport): string =>
  renderTable(
    ['command', 'until processes start, ms', 'until ready, ms'],
    [[command, commandMs.toFixed(0), readyMs.toFixed(0)]],
  );

/**
 * Renders the report of the path bench.
 *
 * @param report - report; a part that is null is left out
 * @returns a line about the run, and the tables of the parts that were run
 */
export const renderPathReport = (report: PathReport): string => {
  const { identity, latency, capacity, startup, targets } = report;
  const runLine = `${identity.date}, commit ${identity.commit}, Node ${identity.node}, ${identity.cores.toString()} cores (${identity.processor}), load ${identity.loadBefore.toFixed(2)}`;
  const rows = targets.map(({ target, measured, result }): Row => [target, measured, result]);
  const parts = [
    runLine,
    ...(latency === null ? [] : [renderLatency(latency)]),
    ...(capacity === null ? [] : [renderCapacity(capacity)]),
    ...(startup === null ? [] : [renderStartup(startup)]),
    ...(rows.length === 0 ? [] : [renderTable(['target', 'measured', 'result'], rows)]),
  ];
  return parts.join('\n\n');
};
