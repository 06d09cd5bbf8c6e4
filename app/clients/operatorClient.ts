import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { z } from 'zod';
import { fetchJson } from './http.js';
import type { JsonResponse } from './http.js';

/** Base URL and bearer key of an entry daemon's operator interface. */
export interface OperatorTarget {
  readonly url: string;
  readonly key: string;
}

/** Control-stream record that an operator publishes. */
export interface OperatorRecord {
  readonly kind: 'targets' | 'data-centre' | 'move';
  readonly entity: string;
  /** Offset on which the change is based; null when the entity is new. */
  readonly basedOn: number | null;
  readonly body: unknown;
}

export type PublishMode = 'publish' | 'dry-run';

/** Why a request to the operator interface failed. */
export type OperatorFailure =
  | { readonly kind: 'no-answer'; readonly change: 'none' | 'possible'; readonly message: string }
  | { readonly kind: 'unauthorized'; readonly message: string }
  | { readonly kind: 'bad-record'; readonly message: string }
  | { readonly kind: 'unavailable'; readonly message: string }
  | {
      readonly kind: 'lost-race';
      readonly winner: { readonly offset: number; readonly author: string };
    }
  | { readonly kind: 'fault'; readonly message: string };

export type PublishResult =
  | { readonly kind: 'in-force'; readonly offset: number }
  | { readonly kind: 'dry-run'; readonly change: unknown };

const CONFIGURATION_SCHEMA = z.object({
  offset: z.number(),
  entities: z.array(
    z.object({
      kind: z.string(),
      entity: z.string(),
      offset: z.number(),
      body: z.unknown(),
      author: z.string(),
    }),
  ),
});

const MOVES_SCHEMA = z.object({
  moves: z.array(
    z.object({
      name: z.string(),
      model: z.string(),
      from: z.string(),
      to: z.string(),
      deadline: z.number(),
      share: z.number(),
      state: z.string(),
      reason: z.string().optional(),
    }),
  ),
});

const PUBLISHED_SCHEMA = z.discriminatedUnion('result', [
  z.object({ result: z.literal('in-force'), offset: z.number() }),
  z.object({ result: z.literal('dry-run'), change: z.unknown() }),
]);

const PROBLEM_SCHEMA = z.object({
  code: z.string().optional(),
  detail: z.string().optional(),
  winner: z.object({ offset: z.number(), author: z.string() }).optional(),
});

export type Configuration = z.output<typeof CONFIGURATION_SCHEMA>;

export type MoveRow = z.output<typeof MOVES_SCHEMA>['moves'][number];

const classifyErrorResponse = (response: JsonResponse): OperatorFailure => {
  const problem = PROBLEM_SCHEMA.safeParse(response.body).data ?? {};
  const status = response.status.toString();
  const message =
    problem.detail ?? problem.code ?? `the operator interface returned status ${status}`;
  if (response.status === 401 || response.status === 403) return { kind: 'unauthorized', message };
  if (response.status === 409 && problem.winner !== undefined) {
    return { kind: 'lost-race', winner: problem.winner };
  }
  if (response.status === 400 || response.status === 422) return { kind: 'bad-record', message };
  if (response.status === 429 || response.status === 503) return { kind: 'unavailable', message };
  return { kind: 'fault', message };
};

const fetchFromOperator = async <Body>(
  target: OperatorTarget,
  path: string,
  schema: z.ZodType<Body>,
  record?: OperatorRecord,
): Promise<Result<Body, OperatorFailure>> => {
  const response = await fetchJson({
    method: record === undefined ? 'GET' : 'POST',
    url: `${target.url.replace(/\/+$/, '')}${path}`,
    key: target.key,
    ...(record === undefined ? {} : { body: record }),
  });
  if (response.isErr()) {
    const { verdict, message } = response.error;
    const change = record === undefined || verdict === 'not-run' ? 'none' : 'possible';
    return Err({ kind: 'no-answer', change, message });
  }
  if (response.value.status !== 200) return Err(classifyErrorResponse(response.value));
  const parsed = schema.safeParse(response.value.body);
  if (parsed.success) return Ok(parsed.data);
  return Err({
    kind: 'fault',
    message: `${target.url}${path} returned an unexpected response body`,
  });
};

/**
 * Fetches the configuration in force at an entry daemon.
 *
 * @param target - address and key
 * @returns all entities with their offsets
 */
export const fetchConfiguration = (
  target: OperatorTarget,
): Promise<Result<Configuration, OperatorFailure>> =>
  fetchFromOperator(target, '/operator/configuration', CONFIGURATION_SCHEMA);

/**
 * Fetches the version moves.
 *
 * @param target - address and key
 * @returns the moves with their shares and states
 */
export const fetchMoves = async (
  target: OperatorTarget,
): Promise<Result<readonly MoveRow[], OperatorFailure>> => {
  const page = await fetchFromOperator(target, '/operator/moves', MOVES_SCHEMA);
  return page.map(({ moves }) => moves);
};

/**
 * Publishes a record, or requests a preview of what it would change.
 *
 * @param target - address and key
 * @param record - record of the control stream
 * @param mode - `dry-run` appends nothing
 * @returns the offset of the record or the previewed change, or why the request failed
 */
export const publishRecord = async (
  target: OperatorTarget,
  record: OperatorRecord,
  mode: PublishMode,
): Promise<Result<PublishResult, OperatorFailure>> => {
  const path = `/operator/records?dryRun=${String(mode === 'dry-run')}`;
  const published = await fetchFromOperator(target, path, PUBLISHED_SCHEMA, record);
  return published.map((response): PublishResult =>
    response.result === 'in-force'
      ? { kind: 'in-force', offset: response.offset }
      : { kind: 'dry-run', change: response.change },
  );
};
