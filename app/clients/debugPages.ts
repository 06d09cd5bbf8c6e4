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
  // A newer daemon can log events that this command line does not know; they are shown too.
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

/** Logs of the daemons that answered, and what is missing. */
export interface CollectedLogs {
  readonly logs: readonly ProcessLog[];
  /** One message for each daemon that gave no events. */
  readonly missing: readonly string[];
}

/** Where the events are read. */
export interface EventSources {
  readonly urls: readonly string[];
  readonly listUrl?: string;
}

const toLocation = (base: string, path: string): string => `${base.replace(/\/+$/, '')}${path}`;

const fetchPage = async <Page>(
  url: string,
  schema: z.ZodType<Page>,
): Promise<Result<Page, string>> => {
  const answer = await fetchJson({ method: 'GET', url });
  if (answer.isErr()) return Err(answer.error.message);
  if (answer.value.status !== 200) {
    return Err(`${url} answers with status ${answer.value.status.toString()}`);
  }
  const parsed = schema.safeParse(answer.value.body);
  return parsed.success ? Ok(parsed.data) : Err(`${url} answers in an unknown form`);
};

const fetchListedUrls = async (
  listUrl: string | undefined,
): Promise<Result<readonly string[], string>> => {
  if (listUrl === undefined) return Ok([]);
  const page = await fetchPage(toLocation(listUrl, '/instances'), INSTANCES_SCHEMA);
  return page.map(({ instances }) => instances.map(({ httpUrl }) => httpUrl));
};

/**
 * Reads the kept events of daemons.
 *
 * @param sources - addresses of daemons, or of the instance list that names them
 * @returns the events, and a message for each daemon or list that did not give any
 */
export const fetchLogs = async (sources: EventSources): Promise<CollectedLogs> => {
  const listed = await fetchListedUrls(sources.listUrl);
  const urls = new Set([...sources.urls, ...listed.unwrapOr([])]);
  const pages = await Promise.all(
    [...urls].map((url) => fetchPage(toLocation(url, '/debug/events?from=0'), PAGE_SCHEMA)),
  );
  return {
    logs: pages.flatMap((page) => (page.isOk() ? [page.value as ProcessLog] : [])),
    missing: [listed, ...pages].flatMap((result) => (result.isErr() ? [result.error] : [])),
  };
};
