import type { Cluster } from '../../packages/cluster/types.js';

/** Line that `demo --keep --json` prints when the system is ready. */
export interface ReadyLine {
  readonly baseUrl: string;
  readonly entryUrls: readonly string[];
  readonly operatorUrl: string;
  readonly customerKey: string;
  readonly operatorKey: string;
  readonly model: string;
  /** Base URLs by name; `ledger` is the inspection URL of the ledger stand-in. */
  readonly standinUrls: Readonly<Record<string, string>>;
  readonly pids: Readonly<Record<string, number>>;
}

/**
 * Builds the description of a running system that scripts read.
 *
 * @param cluster - running system
 * @returns addresses, keys and process ids
 */
export const buildReadyLine = (cluster: Cluster): ReadyLine => {
  const { baseUrl, entryUrls, operatorUrl, operatorKey, model, standinUrls } = cluster;
  return {
    baseUrl,
    entryUrls,
    operatorUrl,
    customerKey: Object.values(cluster.customerKeys)[0] ?? '',
    operatorKey,
    model,
    standinUrls: {
      ledger: Object.values(standinUrls.ledgers)[0]?.inspection ?? '',
      platform: standinUrls.platform,
      ...standinUrls.engines,
    },
    pids: Object.fromEntries(cluster.processes.map(({ name, pid }) => [name, pid])),
  };
};

/**
 * Renders the description as text.
 *
 * @param line - description of the running system
 * @returns one line for each address, key and process
 */
export const renderReadyText = (line: ReadyLine): string =>
  [
    `callers   ${line.baseUrl}/v1`,
    `customer  ${line.customerKey}`,
    `operators ${line.operatorUrl}`,
    `key       ${line.operatorKey}`,
    `model     ${line.model}`,
    ...Object.entries(line.standinUrls).map(([name, url]) => `${name.padEnd(9)} ${url}`),
    ...Object.entries(line.pids).map(([name, pid]) => `${name.padEnd(9)} pid ${pid.toString()}`),
  ].join('\n');
