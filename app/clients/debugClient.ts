import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { z } from 'zod';
import { fetchJson } from './http.js';
import type { ProcessLog } from '../../packages/timeline/types.js';

const INSTANCES_SCHEMA = z.object({
  instances: z.array(z.object({ id: z.string(), httpUrl: z.string() })),
});

const DATA_VALUE_SCHEMA = z.union([z.string(), z.number(), z.boolean(), z.array(z.string())]);

const EVENT_SCHEMA = z.object({
  number: z.number(),
  // Any name is accepted: a newer daemon can log events that this version does not know.
  name: z.string(),
  level: z.enum(['debug', 'info', 'warn', 'error']),
  sequence: z.int().min(0),
  at: z.number(),
  process: z.string(),
  role: z.enum(['entry', 'endpoint']),
  incarnation: z.string(),
  requestId: z.string().optional(),
  endpoint: z.string().optional(),
  dataCentre: z.string().optional(),
  entity: z.string().optional(),
  position: z.object({ stream: z.string(), offset: z.int() }).optional(),
  sent: z.string().optional(),
  received: z.string().optional(),
  data: z.record(z.string(), DATA_VALUE_SCHEMA).optional(),
});

const PAGE_SCHEMA = z.object({
  process: z.string(),
  role: z.enum(['entry', 'endpoint']),
  incarnation: z.string(),
  events: z.array(EVENT_SCHEMA),
});

/** Logs of the daemons that answered, and errors of the others. */
export interface CollectedLogs {
  readonly logs: readonly ProcessLog[];
  /** One message for each daemon or instance list that could not be read. */
  readonly missing: readonly string[];
}

/** Daemons to read events from. */
export interface EventSources {
  readonly urls: readonly string[];
  readonly listUrl?: string;
}

const joinUrl = (base: string, path: string): string => `${base.replace(/\/+$/, '')}${path}`;

const fetchPage = async <Page>(
  url: string,
  schema: z.ZodType<Page>,
): Promise<Result<Page, string>> => {
  const response = await fetchJson({ method: 'GET', url });
  if (response.isErr()) return Err(response.error.message);
  if (response.value.status !== 200) {
    return Err(`${url} returned status ${response.value.status.toString()}`);
  }
  const parsed = schema.safeParse(response.value.body);
  return parsed.success ? Ok(parsed.data) : Err(`${url} returned an unexpected response body`);
};

const fetchListedUrls = async (
  listUrl: string | undefined,
): Promise<Result<readonly string[], string>> => {
  if (listUrl === undefined) return Ok([]);
  const page = await fetchPage(joinUrl(listUrl, '/instances'), INSTANCES_SCHEMA);
  return page.map(({ instances }) => instances.map(({ httpUrl }) => httpUrl));
};

/**
 * Fetches the events that daemons retain.
 *
 * @param sources - base URLs of daemons, and of an instance list that names more of them
 * @returns the events, and a message for each daemon or list that could not be read
 */
export const fetchLogs = async (sources: EventSources): Promise<CollectedLogs> => {
  const listed = await fetchListedUrls(sources.listUrl);
  const urls = new Set([...sources.urls, ...listed.unwrapOr([])]);
  const pages = await Promise.all(
    [...urls].map((url) => fetchPage(joinUrl(url, '/debug/events?from=0'), PAGE_SCHEMA)),
  );
  return {
    logs: pages.flatMap((page) => (page.isOk() ? [page.value as ProcessLog] : [])),
    missing: [listed, ...pages].flatMap((result) => (result.isErr() ? [result.error] : [])),
  };
};
