import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { z } from 'zod';
import { fetchJson } from './http.js';
import type { JsonAnswer } from './http.js';

/** Address and key of the operator interface of an entry daemon. */
export interface OperatorTarget {
  readonly url: string;
  readonly key: string;
}

/** Record of the control stream that an operator publishes. */
export interface OperatorRecord {
  readonly kind: 'targets' | 'data-centre' | 'move';
  readonly entity: string;
  /** Offset on which the change is based; null when the entity is new. */
  readonly basedOn: number | null;
  readonly body: unknown;
}

export type PublishMode = 'publish' | 'dry-run';

/** Why the operator interface did not do what it was asked to do. */
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

const describeRefusal = (answer: JsonAnswer): OperatorFailure => {
  const problem = PROBLEM_SCHEMA.safeParse(answer.body).data ?? {};
  const status = answer.status.toString();
  const message = problem.detail ?? problem.code ?? `the operator interface answers ${status}`;
  if (answer.status === 401 || answer.status === 403) return { kind: 'unauthorized', message };
  if (answer.status === 409 && problem.winner !== undefined) {
    return { kind: 'lost-race', winner: problem.winner };
  }
  if (answer.status === 400 || answer.status === 422) return { kind: 'bad-record', message };
  if (answer.status === 429 || answer.status === 503) return { kind: 'unavailable', message };
  return { kind: 'fault', message };
};

const fetchFromOperator = async <Body>(
  target: OperatorTarget,
  path: string,
  schema: z.ZodType<Body>,
  record?: OperatorRecord,
): Promise<Result<Body, OperatorFailure>> => {
  const answer = await fetchJson({
    method: record === undefined ? 'GET' : 'POST',
    url: `${target.url.replace(/\/+$/, '')}${path}`,
    key: target.key,
    ...(record === undefined ? {} : { body: record }),
  });
  if (answer.isErr()) {
    const { verdict, message } = answer.error;
    const change = record === undefined || verdict === 'not-run' ? 'none' : 'possible';
    return Err({ kind: 'no-answer', change, message });
  }
  if (answer.value.status !== 200) return Err(describeRefusal(answer.value));
  const parsed = schema.safeParse(answer.value.body);
  if (parsed.success) return Ok(parsed.data);
  return Err({ kind: 'fault', message: `${target.url}${path} answers in an unknown form` });
};

/**
 * Reads the configuration in force at an entry daemon.
 *
 * @param target - address and key
 * @returns all entities with their offsets
 */
export const fetchConfiguration = (
  target: OperatorTarget,
): Promise<Result<Configuration, OperatorFailure>> =>
  fetchFromOperator(target, '/operator/configuration', CONFIGURATION_SCHEMA);

/**
 * Reads the version moves.
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
 * Publishes a record, or asks what it would change.
 *
 * @param target - address and key
 * @param record - record of the control stream
 * @param mode - `dry-run` appends nothing
 * @returns the offset in force or the change, or why it was refused
 */
export const publishRecord = async (
  target: OperatorTarget,
  record: OperatorRecord,
  mode: PublishMode,
): Promise<Result<PublishResult, OperatorFailure>> => {
  const path = `/operator/records?dryRun=${String(mode === 'dry-run')}`;
  const published = await fetchFromOperator(target, path, PUBLISHED_SCHEMA, record);
  return published.map((answer): PublishResult =>
    answer.result === 'in-force'
      ? { kind: 'in-force', offset: answer.offset }
      : { kind: 'dry-run', change: answer.change },
  );
};
