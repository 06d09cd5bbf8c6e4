import { createHash } from 'node:crypto';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { z } from 'zod';
import { CHARACTERS_PER_TOKEN, MESSAGE_OVERHEAD_TOKENS, PREFIX_CHARACTERS } from './constants.js';
import { parseJsonBytes } from '../../core/jsonText.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';
import type { GenerationRequest } from '../types.js';

const contentSchema = z.union([z.string(), z.array(z.unknown()), z.null()]);

const bodySchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(z.looseObject({ role: z.string(), content: contentSchema.optional() })).min(1),
  stream: z.boolean().nullish(),
  stream_options: z.looseObject({ include_usage: z.boolean().optional() }).nullish(),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
});

/**
 * Fields that the daemon derives from a chat-completions body; the engine receives the raw body.
 */
export type ParsedBody = Pick<
  GenerationRequest,
  'model' | 'form' | 'promptTokens' | 'maxTokens' | 'prefix' | 'fingerprint' | 'parts'
>;

const listContents = (messages: z.output<typeof bodySchema>['messages']): readonly string[] =>
  messages.map(({ content }) =>
    typeof content === 'string' ? content : JSON.stringify(content ?? ''),
  );

const hashText = (text: string): string => createHash('sha256').update(text).digest('base64url');

/**
 * Computes the hash that identifies a cached prompt prefix in the reports of endpoints.
 *
 * @param text - concatenated contents of all messages
 * @returns the hash
 */
export const hashPrefix = (text: string): string =>
  createHash('sha256').update(text.slice(0, PREFIX_CHARACTERS)).digest('hex').slice(0, 16);

/**
 * Validates a chat-completions body and derives the fields that placement needs.
 *
 * @param bytes - JSON body as it was received
 * @returns the derived fields, or a `not-run` failure that names the invalid field or the offset
 */
export const parseRequestBody = (bytes: Uint8Array): Result<ParsedBody, Failure> => {
  const json = parseJsonBytes(bytes);
  if (json.isErr()) return Err(createFailure('not-run', 'bad-request', `body: ${json.error}`));
  const parsed = bodySchema.safeParse(json.value);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    const message = `body: field "${issue?.path.join('.') ?? ''}": ${issue?.message ?? 'invalid'}`;
    return Err(createFailure('not-run', 'bad-request', message));
  }
  const { model, messages, stream, stream_options: options } = parsed.data;
  const contents = listContents(messages);
  const prompt = contents.join('');
  return Ok({
    model,
    form:
      stream === true
        ? { kind: 'stream', usage: options?.include_usage === true ? 'included' : 'left-out' }
        : { kind: 'whole' },
    promptTokens:
      Math.ceil(prompt.length / CHARACTERS_PER_TOKEN) + messages.length * MESSAGE_OVERHEAD_TOKENS,
    maxTokens: parsed.data.max_completion_tokens ?? parsed.data.max_tokens ?? null,
    prefix: hashPrefix(prompt),
    // Omits the form of the answer, so that a retry in another form has the same fingerprint.
    fingerprint: hashText(`${model}\n${contents.join('\n')}`),
    parts: contents.slice(0, -1).map((content) => hashText(`${model}\n${content}`)),
  });
};
