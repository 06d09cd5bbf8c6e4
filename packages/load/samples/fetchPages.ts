import { request } from 'undici';
import type { Dispatcher } from 'undici';
import { z } from 'zod';
import type { EngineCounters } from './types.js';
import { PAGE_TIMEOUT_MS } from '../constants.js';

const COUNTERS_SCHEMA = z.object({
  startId: z.string(),
  running: z.number(),
  waiting: z.number(),
  memoryShare: z.number(),
  started: z.number(),
  startedByVersion: z.record(z.string(), z.number()),
  tokens: z.number(),
  preemptions: z.number(),
  stalledMs: z.number(),
  overloadedWhileCold: z.number(),
  maxRunning: z.number(),
});

const REQUESTS_SCHEMA = z.object({ requests: z.record(z.string(), z.number()) });

const EXECUTIONS_SCHEMA = z.object({ count: z.number() });

const fetchPage = async (url: string, dispatcher: Dispatcher): Promise<unknown> => {
  const timeouts = { headersTimeout: PAGE_TIMEOUT_MS, bodyTimeout: PAGE_TIMEOUT_MS };
  const { body } = await request(url, { dispatcher, ...timeouts });
  return body.json();
};

/**
 * Fetches the counters of all engine stand-ins.
 *
 * @param engineUrls - addresses by engine id
 * @param dispatcher - HTTP connections
 * @returns the counters of the engines that answered
 */
export const fetchCounters = async (
  engineUrls: Readonly<Record<string, string>>,
  dispatcher: Dispatcher,
): Promise<readonly EngineCounters[]> => {
  const pages = Object.entries(engineUrls).map(async ([engine, url]) => ({
    engine,
    ...COUNTERS_SCHEMA.parse(await fetchPage(`${url}/standin/counters`, dispatcher)),
  }));
  const results = await Promise.allSettled(pages);
  return results.flatMap((page) => (page.status === 'fulfilled' ? [page.value] : []));
};

/**
 * Fetches the number of generations with each request id, over all engine stand-ins.
 *
 * @param engineUrls - addresses by engine id
 * @param dispatcher - HTTP connections
 * @returns the counts by request id
 */
export const fetchGenerationCounts = async (
  engineUrls: Readonly<Record<string, string>>,
  dispatcher: Dispatcher,
): Promise<ReadonlyMap<string, number>> => {
  const counts = new Map<string, number>();
  for (const url of Object.values(engineUrls)) {
    const page = await fetchPage(`${url}/standin/stats`, dispatcher);
    for (const [id, count] of Object.entries(REQUESTS_SCHEMA.parse(page).requests)) {
      counts.set(id, (counts.get(id) ?? 0) + count);
    }
  }
  return counts;
};

/**
 * Fetches the number of executions with an idempotency key, over all service stand-ins.
 *
 * @param inspectionUrls - base URLs of the inspection pages
 * @param key - idempotency key
 * @param dispatcher - HTTP connections
 * @returns the number of executions
 */
export const fetchExecutionCount = async (
  inspectionUrls: readonly string[],
  key: string,
  dispatcher: Dispatcher,
): Promise<number> => {
  const query = new URLSearchParams({ key }).toString();
  const counts = inspectionUrls.map(async (url) =>
    EXECUTIONS_SCHEMA.parse(await fetchPage(`${url}/executions?${query}`, dispatcher)),
  );
  return (await Promise.all(counts)).reduce((sum, { count }) => sum + count, 0);
};
