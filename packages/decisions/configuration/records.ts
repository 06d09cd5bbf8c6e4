import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { z } from 'zod';
import { CONTROL_FORMAT } from './constants.js';
import type { ConfigurationSnapshot, ControlRecord, EntityContent } from './types.js';
import { checkRecordFormat } from '../../core/recordFormat.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';

const shortString = z.string().min(1).max(256);
const durationMs = z.number().positive();
const offset = z.number().int().nonnegative();

const classSchema = z.strictObject({
  className: shortString,
  importance: z.enum(['critical', 'standard', 'background']),
  answerLength: z.enum(['short', 'long']).default('long'),
  firstTokenMs: durationMs,
  tokenGapMs: durationMs,
  stallMs: durationMs,
  deadlineMs: durationMs,
  repeat: z.enum(['allowed', 'never']).default('allowed'),
  delivery: z.enum(['stream', 'whole']).default('stream'),
  overflowProbability: z.number().min(0).max(1).optional(),
});

const hasUniqueNames = ({ classes }: { classes: { className: string }[] }): boolean =>
  new Set(classes.map(({ className }) => className)).size === classes.length;

const targetsBody = z
  .strictObject({ classes: z.array(classSchema).min(1) })
  .refine(hasUniqueNames, { path: ['classes'], error: 'two classes have the same className' });

const moveBody = z
  .strictObject({
    name: shortString,
    model: shortString,
    from: shortString,
    to: shortString,
    startedAt: z.number(),
    deadline: z.number(),
  })
  .refine((move) => move.from !== move.to, { path: ['to'], error: 'from and to are the same' })
  .refine((move) => move.deadline > move.startedAt, {
    path: ['deadline'],
    error: 'the deadline must lie after startedAt',
  });

const contentSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('targets'), body: targetsBody }),
  z.object({
    kind: z.literal('data-centre'),
    body: z.strictObject({ state: z.enum(['in', 'out']) }),
  }),
  z.object({ kind: z.literal('move'), body: moveBody }),
  z.object({
    kind: z.literal('move-ended'),
    body: z.strictObject({ outcome: z.enum(['done', 'taken-back']), reason: z.string() }),
  }),
  z.object({
    kind: z.literal('move-notified'),
    body: z.strictObject({ endedAt: offset }),
  }),
  z.object({ kind: z.literal('quarantine'), body: z.strictObject({ expiresAt: z.number() }) }),
]);

const recordFields = z.object({
  format: z.literal(CONTROL_FORMAT),
  author: shortString,
  nonce: shortString,
});

const entityFields = recordFields.extend({ entity: shortString, basedOn: offset.nullable() });

const entrySchema = z.intersection(
  contentSchema,
  z.object({ entity: shortString, offset, author: shortString }),
);

const snapshotRecordSchema = recordFields.extend({
  kind: z.literal('snapshot'),
  asOf: offset,
  entities: z.array(entrySchema),
});

const entityRecordSchema = z.intersection(contentSchema, entityFields);

const snapshotSchema = z.object({ nextOffset: offset, entities: z.array(entrySchema) });

const toFailure = (error: z.ZodError, subject: string): Failure => {
  const issue = error.issues[0];
  const field = issue?.path.join('.') ?? '';
  const message = `${subject}: field "${field}": ${issue?.message ?? 'invalid'}`;
  return createFailure('not-run', 'bad-request', message);
};

const RECORD_SUBJECT = 'record of the control stream';

const isSnapshot = (json: unknown): boolean =>
  typeof json === 'object' && json !== null && 'kind' in json && json.kind === 'snapshot';

/**
 * Parses a record of the `control` stream.
 *
 * @param json - decoded JSON of a record
 * @returns the record, or a failure that names the first invalid field (`unsupported-format` for
 *   the format of a later version)
 */
export const parseControlRecord = (json: unknown): Result<ControlRecord, Failure> => {
  const unknown = checkRecordFormat(json, CONTROL_FORMAT, RECORD_SUBJECT);
  if (unknown !== null) return Err(unknown);
  const schema = isSnapshot(json) ? snapshotRecordSchema : entityRecordSchema;
  const parsed = schema.safeParse(json);
  if (parsed.success) return Ok(parsed.data as ControlRecord);
  return Err(toFailure(parsed.error, RECORD_SUBJECT));
};

/**
 * Parses a snapshot that another process sent.
 *
 * @param json - decoded JSON of a snapshot
 * @returns the snapshot, or a failure that names the first invalid field
 */
export const parseSnapshot = (json: unknown): Result<ConfigurationSnapshot, Failure> => {
  const parsed = snapshotSchema.safeParse(json);
  if (parsed.success) return Ok(parsed.data as ConfigurationSnapshot);
  return Err(toFailure(parsed.error, 'snapshot of the configuration'));
};

/** Kinds of records that operators may publish. */
const OPERATOR_KINDS: ReadonlySet<string> = new Set([
  'targets',
  'data-centre',
  'move',
  'move-ended',
]);

const proposalSchema = z.intersection(
  contentSchema,
  z.object({ entity: shortString, basedOn: offset.nullable() }),
);

/** Change proposed by an operator. */
export type Proposal = EntityContent & {
  readonly entity: string;
  readonly basedOn: number | null;
};

/**
 * Parses a proposal that an operator posted.
 *
 * @param json - decoded body of the request
 * @returns the proposal, or a failure that names the first invalid field
 */
export const parseProposal = (json: unknown): Result<Proposal, Failure> => {
  const parsed = proposalSchema.safeParse(json);
  if (!parsed.success) return Err(toFailure(parsed.error, 'record'));
  const { kind } = parsed.data;
  if (OPERATOR_KINDS.has(kind)) return Ok(parsed.data as Proposal);
  const message = `record: field "kind": operators do not publish ${kind} records`;
  return Err(createFailure('not-run', 'bad-request', message));
};
