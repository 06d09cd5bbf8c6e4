import { createServer } from 'node:http';
import { buildIntentLines } from './intents.js';
import { startOnLoopback } from './loopback.js';
import { getProcessorTime } from '../sampling/duration.js';
import type { Experiment } from '../types.js';
import { READ_LIMIT } from '../../entry/platform/constants.js';
import { createLogClient } from '../../platform/client/logClient.js';

const NOW = 1_800_000_000_000;
const RECORDS_PER_CHAIN = 2;

/** Builds the pages of a stream, each with as many records as the entry daemons request. */
const buildPages = (records: number): readonly Buffer[] => {
  const lines = buildIntentLines(records / RECORDS_PER_CHAIN);
  const pages: Buffer[] = [];
  for (let from = 0; from < records; from += READ_LIMIT) {
    const items = lines
      .slice(from, from + READ_LIMIT)
      .map(
        (line, index) =>
          `{"offset":${(from + index).toString()},"at":${NOW.toString()},"body":${line}}`,
      );
    const nextOffset = Math.min(records, from + READ_LIMIT).toString();
    pages.push(
      Buffer.from(`{"records":[${items.join(',')}],"nextOffset":${nextOffset},"firstOffset":0}`),
    );
  }
  return pages;
};

const readAll = async (baseUrl: string, records: number): Promise<void> => {
  const client = createLogClient({ baseUrl, timeoutMs: 10_000 });
  let from = 0;
  while (from < records) {
    const page = await client.read('intents', { from, limit: READ_LIMIT });
    if (page.isErr()) throw new Error(page.error.message);
    from = page.value.nextOffset;
  }
  await client.close();
};

const measureReads = async (records: number) => {
  const pages = buildPages(records);
  const server = createServer((request, response) => {
    const from = Number(new URL(request.url ?? '', 'http://log').searchParams.get('from'));
    const page = pages[Math.floor(from / READ_LIMIT)];
    response.writeHead(200, { 'content-type': 'application/json' }).end(page);
  });
  const baseUrl = await startOnLoopback(server);
  await readAll(baseUrl, records);
  const startedAt = getProcessorTime();
  await readAll(baseUrl, records);
  const processorTime = getProcessorTime() - startedAt;
  await new Promise((resolve) => server.close(resolve));
  return {
    'log.read-time': processorTime,
    'log.read': pages.reduce((sum, page) => sum + page.length, 0),
  };
};

/** Reads of a whole stream of the log, as a starting daemon makes them. */
export const LOG_EXPERIMENTS: readonly Experiment[] = [
  { name: 'log reads', sizes: [1_000, 5_000, 20_000], measure: measureReads },
];
