import { request } from 'undici';
import type { Dispatcher } from 'undici';
import type { ProcessUsage, Sample } from '../types.js';
import type { Millis } from '../../core/clock.js';
import { PROCESS_GAUGES } from '../../core/metrics/processGauges.js';

const MICROS_PER_SECOND = 1_000_000;

const readGauge = (text: string, name: string): number => {
  const value = new RegExp(`^${name} (\\S+)$`, 'm').exec(text)?.[1];
  if (value === undefined) throw new Error(`the metrics page has no ${name}`);
  return Number(value);
};

/**
 * Parses the memory and processor time of a daemon from its metrics page.
 *
 * @param text - page in the Prometheus text format
 * @returns memory in bytes and processor time in seconds
 * @throws Error when a gauge is missing
 */
export const parseProcessUsage = (text: string): ProcessUsage => ({
  rssBytes: readGauge(text, PROCESS_GAUGES.rss),
  heapBytes: readGauge(text, PROCESS_GAUGES.heap),
  externalBytes: readGauge(text, PROCESS_GAUGES.external),
  cpuSeconds: readGauge(text, PROCESS_GAUGES.cpu),
});

const fetchProcessUsage = async (url: string, dispatcher: Dispatcher): Promise<ProcessUsage> => {
  const response = await request(`${url}/metrics`, { dispatcher });
  return parseProcessUsage(await response.body.text());
};

const addUsage = (left: ProcessUsage, right: ProcessUsage): ProcessUsage => ({
  rssBytes: left.rssBytes + right.rssBytes,
  heapBytes: left.heapBytes + right.heapBytes,
  externalBytes: left.externalBytes + right.externalBytes,
  cpuSeconds: left.cpuSeconds + right.cpuSeconds,
});

/** Base URLs of the daemons whose metrics pages are sampled. */
export interface MetricsUrls {
  readonly entry: string;
  readonly endpoints: readonly string[];
}

const ZERO_USAGE: ProcessUsage = { rssBytes: 0, heapBytes: 0, externalBytes: 0, cpuSeconds: 0 };

/**
 * Takes one sample of the daemons on the request path and of this client process.
 *
 * @param urls - base URLs of the daemons
 * @param dispatcher - dispatcher of the HTTP requests
 * @param now - clock of the run
 * @returns the sample
 * @throws Error when a page cannot be fetched or lacks a gauge
 */
export const fetchSample = async (
  urls: MetricsUrls,
  dispatcher: Dispatcher,
  now: () => Millis,
): Promise<Sample> => {
  const [entry, ...endpoints] = await Promise.all(
    [urls.entry, ...urls.endpoints].map((url) => fetchProcessUsage(url, dispatcher)),
  );
  const { user, system } = process.cpuUsage();
  return {
    at: now(),
    entry: entry ?? ZERO_USAGE,
    endpoints: endpoints.reduce(addUsage, ZERO_USAGE),
    clientCpuSeconds: (user + system) / MICROS_PER_SECOND,
  };
};
