import { createParser } from 'eventsource-parser';
import type { EventSourceMessage } from 'eventsource-parser';
import { request } from 'undici';
import type { Dispatcher } from 'undici';
import { z } from 'zod';
import type { Outcome } from '../types.js';
import type { Millis } from '../../core/clock.js';

/** An HTTP call to an entry daemon. */
export interface EntryCall {
  readonly url: string;
  readonly method: 'GET' | 'POST';
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string | undefined;
  readonly signal: AbortSignal;
  readonly dispatcher: Dispatcher;
  readonly now: () => Millis;
  /** Receives each part of a generation and, from a stream, the resume ticket sent with it. */
  readonly onText: (text: string, at: Millis, ticket: string | undefined) => void;
}

/** How a call ended; a `broken` call can be retried. */
export type CallEnd = Outcome | { readonly kind: 'broken'; readonly reason: string };

const PROBLEM_SCHEMA = z.object({
  verdict: z.enum(['not-run', 'may-have-run', 'ran']),
  code: z.string(),
  status: z.number().default(0),
});

const CHUNK_SCHEMA = z.object({
  choices: z.array(z.object({ delta: z.object({ content: z.string().nullish() }).optional() })),
});

const COMPLETION_SCHEMA = z.object({
  choices: z.array(z.object({ message: z.object({ content: z.string().nullish() }) })).min(1),
});

const STREAM_END_MARKER = '[DONE]';

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

/**
 * Converts an error response. Every error response of an entry daemon has a verdict, so one without
 * it counts as no answer.
 */
const toFailure = (value: unknown, status: number): CallEnd => {
  const problem = PROBLEM_SCHEMA.safeParse(value);
  if (!problem.success) {
    return { kind: 'no-answer', reason: `status ${status.toString()} without a verdict` };
  }
  const { verdict, code } = problem.data;
  return { kind: 'failed', verdict, code, status: problem.data.status || status };
};

const readMessage = (
  message: EventSourceMessage,
  call: EntryCall,
  at: Millis,
): CallEnd | 'open' => {
  if (message.data === STREAM_END_MARKER) return { kind: 'finished', answer: null };
  const value = parseJson(message.data);
  if (message.event === 'error') return toFailure(value, 200);
  const chunk = CHUNK_SCHEMA.safeParse(value);
  if (!chunk.success) return { kind: 'no-answer', reason: 'the chunk does not match the schema' };
  const text = chunk.data.choices.map(({ delta }) => delta?.content ?? '').join('');
  if (text !== '') call.onText(text, at, message.id);
  return 'open';
};

const readStream = async (
  body: Dispatcher.ResponseData['body'],
  call: EntryCall,
): Promise<CallEnd> => {
  const decoder = new TextDecoder();
  let at = call.now();
  let end: CallEnd | 'open' = 'open';
  const parser = createParser({
    onEvent: (message) => {
      if (end === 'open') end = readMessage(message, call, at);
    },
  });
  for await (const bytes of body) {
    at = call.now();
    parser.feed(decoder.decode(bytes as Uint8Array, { stream: true }));
  }
  return end === 'open'
    ? { kind: 'broken', reason: 'the stream ended without its end marker' }
    : end;
};

const readWholeResponse = async (
  response: Dispatcher.ResponseData,
  call: EntryCall,
): Promise<CallEnd> => {
  const value = parseJson(await response.body.text());
  if (response.statusCode >= 400) return toFailure(value, response.statusCode);
  const completion = COMPLETION_SCHEMA.safeParse(value);
  if (completion.success)
    call.onText(completion.data.choices[0]?.message.content ?? '', call.now(), undefined);
  return { kind: 'finished', answer: value };
};

/**
 * Calls an entry daemon once and reads the response.
 *
 * @param call - request and callback for the generated text
 * @returns how the call ended; connection errors are returned as `broken`
 */
export const performCall = async (call: EntryCall): Promise<CallEnd> => {
  try {
    const response = await request(call.url, {
      dispatcher: call.dispatcher,
      method: call.method,
      headers: call.headers,
      signal: call.signal,
      ...(call.body === undefined ? {} : { body: call.body }),
    });
    const contentType = response.headers['content-type'];
    const isStream = typeof contentType === 'string' && contentType.startsWith('text/event-stream');
    return await (isStream ? readStream(response.body, call) : readWholeResponse(response, call));
  } catch (error) {
    return { kind: 'broken', reason: error instanceof Error ? error.message : String(error) };
  }
};
