import type { GenerationId, ModelName } from '../../core/ids.js';
import type { Millis } from '../../core/clock.js';

/** Identity of an answer, the same in each chunk. */
export interface AnswerIdentity {
  readonly generationId: GenerationId;
  readonly model: ModelName;
  readonly createdAt: Millis;
}

type Json = Readonly<Record<string, unknown>>;

const MILLIS_PER_SECOND = 1_000;

const isRecord = (value: unknown): value is Json =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const mergeLists = (left: readonly unknown[], right: readonly unknown[]): readonly unknown[] => {
  const merged = [...left];
  for (const item of right) {
    const index = isRecord(item) && typeof item['index'] === 'number' ? item['index'] : undefined;
    const at = merged.findIndex((known) => isRecord(known) && known['index'] === index);
    if (index === undefined || at < 0) merged.push(item);
    else merged[at] = mergeValues(merged[at], item, 'index');
  }
  return merged;
};

/** Fields whose text is not spread over several chunks. */
const FIXED_FIELDS: ReadonlySet<string> = new Set(['role', 'id', 'type', 'name', 'finish_reason']);

const mergeValues = (left: unknown, right: unknown, field: string): unknown => {
  if (right === undefined || right === null) return left ?? right;
  if (left === undefined || left === null) return right;
  if (Array.isArray(left) && Array.isArray(right)) return mergeLists(left, right);
  if (isRecord(left) && isRecord(right)) return mergeRecords(left, right);
  if (typeof left === 'string' && typeof right === 'string' && !FIXED_FIELDS.has(field)) {
    return left + right;
  }
  return right;
};

const mergeRecords = (left: Json, right: Json): Json => {
  const merged: Record<string, unknown> = { ...left };
  for (const [field, value] of Object.entries(right)) {
    merged[field] = mergeValues(merged[field], value, field);
  }
  return merged;
};

/**
 * Formats the header fields that each chunk and the whole answer share.
 *
 * @param identity - identity of the answer
 * @param object - kind of document
 * @returns the fields in the order of the chat-completions interface
 */
export const formatAnswerFields = (
  identity: AnswerIdentity,
  object: 'chat.completion' | 'chat.completion.chunk',
): Json => ({
  id: `chatcmpl-${identity.generationId}`,
  object,
  created: Math.floor(identity.createdAt / MILLIS_PER_SECOND),
  model: identity.model,
});

/**
 * Builds the answer of a caller that did not ask for a stream.
 *
 * @param identity - identity of the answer
 * @param chunks - choices lists of all chunks, in order
 * @param usage - JSON of the engine's usage record, or empty
 * @returns the chat-completions document
 */
export const buildWholeAnswer = (
  identity: AnswerIdentity,
  chunks: readonly string[],
  usage: string,
): Json => {
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
