import { parseJsonBytes } from '../../core/jsonText.js';
import type { WindowUsage } from '../../decisions/usage/types.js';
import type { SentUsage } from '../events.js';

const FORMAT = 4;

/** Limit of the customers in one datagram. */
const MAX_ROWS = 400;

type CustomerRow = readonly [customer: string, requests: number];

type WindowRow = readonly [
  window: number,
  phase: WindowUsage['phase'],
  customers: readonly CustomerRow[],
];

const isCount = (value: unknown): value is number =>
  Number.isSafeInteger(value) && Number(value) >= 0;

const isCustomerRow = (value: unknown): value is CustomerRow =>
  Array.isArray(value) && typeof value[0] === 'string' && isCount(value[1]);

const isWindowRow = (value: unknown): value is WindowRow =>
  Array.isArray(value) &&
  isCount(value[0]) &&
  (value[1] === 'open' || value[1] === 'closed') &&
  Array.isArray(value[2]) &&
  value[2].every(isCustomerRow);

/**
 * Encodes counts. Each datagram has whole windows, so that one that is lost leaves no window in part.
 *
 * @param message - counts of this daemon
 * @returns datagrams
 */
export const encodeUsage = ({
  incarnation,
  sequence,
  windows,
}: SentUsage): readonly Uint8Array[] => {
  const datagrams: WindowRow[][] = [];
  let rows = Infinity;
  for (const { counts, phase, window } of windows) {
    if (rows + counts.size > MAX_ROWS) {
      datagrams.push([]);
      rows = 0;
    }
    rows += counts.size;
    datagrams.at(-1)?.push([window, phase, [...counts]]);
  }
  return datagrams.map((sent) =>
    Buffer.from(
      JSON.stringify({ kind: 'usage', format: FORMAT, incarnation, sequence, windows: sent }),
    ),
  );
};

/**
 * Decodes a datagram with the counts of another daemon.
 *
 * @param bytes - payload of the datagram
 * @returns the counts, or null when it is invalid or has another format version
 */
export const decodeUsage = (bytes: Uint8Array): SentUsage | null => {
  const json = parseJsonBytes(bytes);
  if (json.isErr() || typeof json.value !== 'object' || json.value === null) return null;
  const { format, incarnation, kind, sequence, windows } = json.value as Record<string, unknown>;
  if (kind !== 'usage' || format !== FORMAT || typeof incarnation !== 'string') return null;
  if (!isCount(sequence) || !Array.isArray(windows) || !windows.every(isWindowRow)) return null;
  return {
    incarnation,
    sequence,
    windows: windows.map(([window, phase, customers]) => ({
      window,
      phase,
      counts: new Map(customers),
    })),
  };
};
