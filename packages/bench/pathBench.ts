/**
 * Entry point of `npm run bench:path`: measures the request path through daemon processes that
 * communicate over loopback.
 */
import { mkdirSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { measureCapacity } from './measureCapacity.js';
import type { CapacityReport } from './measureCapacity.js';
import { measureLatency } from './measureLatency.js';
import type { LatencyReport } from './measureLatency.js';
import { measureStartup } from './measureStartup.js';
import type { StartupReport } from './measureStartup.js';
import { readRunMetadata } from './report/runMetadata.js';
import { printProgress, printResult } from './report/print.js';
import { renderPathReport } from './report/tables.js';
import { checkCapacity, checkLatency } from './report/targets.js';
import type { PathReport, TargetReport } from './report/types.js';
import { writeResult } from './report/writeResult.js';

const PARTS = ['latency', 'capacity', 'startup'] as const;
type Part = (typeof PARTS)[number];

const DEFAULT_BLOCKS = '2';

const parseParts = (text: string): readonly Part[] => {
  const names = text.split(',');
  const unknown = names.find((name) => !PARTS.some((part) => part === name));
  if (unknown !== undefined) throw new Error(`unknown part ${unknown}; known: ${PARTS.join(', ')}`);
  return PARTS.filter((part) => names.includes(part));
};

const parseBlocks = (text: string): number => {
  const blocks = Number(text);
  if (!Number.isInteger(blocks) || blocks < 1) throw new Error('--blocks must be an integer >= 1');
  return blocks;
};

const { values } = parseArgs({
  options: {
    json: { type: 'boolean', default: false },
    parts: { type: 'string', default: PARTS.join(',') },
    /** Number of blocks; a block has four rounds: direct, path, path, direct. */
    blocks: { type: 'string', default: DEFAULT_BLOCKS },
    /** Directory for CPU profiles; figures of a profiled run are not to be published. */
    profile: { type: 'string' },
  },
});

const measurePart = async <Report>(
  part: Part,
  parts: readonly Part[],
  measure: () => Promise<Report>,
): Promise<Report | null> => {
  if (!parts.includes(part)) return null;
  printProgress(`measuring ${part}`);
  return measure();
};

const listTargets = (
  latency: LatencyReport | null,
  capacity: CapacityReport | null,
): readonly TargetReport[] => [
  ...(latency === null ? [] : checkLatency(latency)),
  ...(capacity === null ? [] : checkCapacity(capacity)),
];

const runPathBench = async (): Promise<void> => {
  const parts = parseParts(values.parts);
  const blocks = parseBlocks(values.blocks);
  const { profile } = values;
  if (profile !== undefined) mkdirSync(profile, { recursive: true });
  const identity = readRunMetadata();
  const latency = await measurePart('latency', parts, () =>
    measureLatency(blocks, profile, printProgress),
  );
  const capacity = await measurePart('capacity', parts, () => measureCapacity(profile));
  const startup: StartupReport | null = await measurePart('startup', parts, measureStartup);
  const report: PathReport = {
    bench: 'path',
    command: ['npm run bench:path', ...process.argv.slice(2)].join(' '),
    identity,
    latency,
    capacity,
    startup,
    targets: listTargets(latency, capacity),
  };
  const file = writeResult('bench-path', report);
  printResult(values.json ? JSON.stringify(report, undefined, 2) : renderPathReport(report));
  printProgress(`wrote ${file}`);
};

await runPathBench();
