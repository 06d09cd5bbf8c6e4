import type { GenerationId, ModelName } from '../../core/ids.js';
import type { Millis } from '../../core/clock.js';

/** Fields of an answer that are the same in each of its chunks. */
export interface AnswerIdentity {
  readonly generationId: GenerationId;
  readonly model: ModelName;
  readonly createdAt: Millis;
}

type JsonObject = Readonly<Record<string, unknown>>;

const MILLIS_PER_SECOND = 1_000;

const isRecord = (value: unknown): value is JsonObject =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const mergeLists = (left: readonly unknown[], right: readonly unknown[]): readonly unknown[] => {
  const merged = [...left];
  for (const item of right) {
    const index = isRecord(item) && typeof item['index'] === 'number' ? item['index'] : undefined;
    const position = merged.findIndex((known) => isRecord(known) && known['index'] === index);
    if (index === undefined || position < 0) merged.push(item);
    else merged[position] = mergeValues(merged[position], item, 'index');
  }
  return merged;
};

/** String fields that are never split across chunks: a later value replaces an earlier one. */
const REPLACED_FIELDS: ReadonlySet<string> = new Set([
  'role',
  'id',
  'type',
  'name',
  'finish_reason',
]);

const mergeValues = (left: unknown, right: unknown, field: string): unknown => {
  if (right === undefined || right === null) return left ?? right;
  if (left === undefined || left === null) return right;
  if (Array.isArray(left) && Array.isArray(right)) return mergeLists(left, right);
  if (isRecord(left) && isRecord(right)) return mergeRecords(left, right);
  if (typeof left === 'string' && typeof right === 'string' && !REPLACED_FIELDS.has(field)) {
    return left + right;
  }
  return right;
};

const mergeRecords = (left: JsonObject, right: JsonObject): JsonObject => {
  const merged: Record<string, unknown> = { ...left };
  for (const [field, value] of Object.entries(right)) {
    merged[field] = mergeValues(merged[field], value, field);
  }
  return merged;
};

/**
 * Formats the top-level fields that chunks and the whole answer have in common.
 *
 * @param identity - identity of the answer
 * @param object - type of the document
 * @returns the fields in the order that the chat-completions API uses
 */
export const formatAnswerFields = (
  identity: AnswerIdentity,
  object: 'chat.completion' | 'chat.completion.chunk',
): JsonObject => ({
  id: `chatcmpl-${identity.generationId}`,
  object,
  created: Math.floor(identity.createdAt / MILLIS_PER_SECOND),
  model: identity.model,
});

/**
 * Merges the chunks of a generation into one answer, for a caller that didn't request a stream.
 *
 * @param identity - identity of the answer
 * @param chunks - JSON of the `choices` list of each chunk, in order
 * @param usage - JSON of the engine's usage record, or an empty string
 * @returns the chat-completions document
 */
export const buildWholeAnswer = (
  identity: AnswerIdentity,
  chunks: readonly string[],
  usage: string,
): JsonObject => {
  const merged = chunks
    .map((chunk) => JSON.parse(chunk) as readonly unknown[])
    .reduce<readonly unknown[]>(mergeLists, []);
  const choices = merged.filter(isRecord).map(({ delta, ...rest }) => ({
    ...rest,
    message: { role: 'assistant', content: null, ...(isRecord(delta) ? delta : {}) },
  }));
  return {
    ...formatAnswerFields(identity, 'chat.completion'),
    choices,
    ...(usage === '' ? {} : { usage: JSON.parse(usage) as unknown }),
  };
};
