import { createParser } from 'eventsource-parser';
import { request } from 'undici';
import type { Dispatcher } from 'undici';
import { z } from 'zod';
import type {
  CallerTarget,
  ChatOptions,
  ProblemFields,
  StreamResult,
  StreamAnswer,
  StreamEnd,
  ServerSentEvent,
  StreamProgress,
} from './types.js';
import { createWatch } from '../watch.js';

const CHUNK_SCHEMA = z.object({
  choices: z.array(z.object({ delta: z.object({ content: z.string().nullish() }).optional() })),
});

const PROBLEM_SCHEMA = z.object({
  status: z.number(),
  code: z.string(),
  verdict: z.string(),
  detail: z.string(),
  requestId: z.string(),
});

/** Progress of a stream, and how it ended once it has. */
interface StreamState extends StreamProgress {
  readonly end: StreamEnd | undefined;
  readonly firstChunkMs: number | undefined;
}

const INITIAL_STATE: StreamState = {
  texts: [],
  lastEventId: undefined,
  end: undefined,
  firstChunkMs: undefined,
};

/**
 * Parses a problem document.
 *
 * @param text - problem document as JSON
 * @returns the fields that callers use
 * @throws Error when the text is not a problem document
 */
export const parseProblem = (text: string): ProblemFields => PROBLEM_SCHEMA.parse(JSON.parse(text));

const parseChunkTexts = (data: string): readonly string[] =>
  CHUNK_SCHEMA.parse(JSON.parse(data)).choices.flatMap(({ delta }) => {
    const content = delta?.content ?? '';
    return content === '' ? [] : [content];
  });

const applyEvent = (state: StreamState, event: ServerSentEvent, elapsedMs: number): StreamState => {
  if (event.event === 'error') {
    return { ...state, end: { kind: 'failed', problem: parseProblem(event.data) } };
  }
  if (event.data === '[DONE]') return { ...state, end: { kind: 'done' } };
  const texts = parseChunkTexts(event.data);
  return {
    ...state,
    texts: texts.length === 0 ? state.texts : [...state.texts, ...texts],
    lastEventId: event.id ?? state.lastEventId,
    firstChunkMs: state.firstChunkMs ?? elapsedMs,
  };
};

const buildHeaders = (target: CallerTarget, options: ChatOptions): Record<string, string> => ({
  authorization: `Bearer ${target.key}`,
  'content-type': 'application/json',
  accept: 'text/event-stream',
  ...(options.className === undefined ? {} : { 'x-chestnutspan-class': options.className }),
  ...(options.idempotencyKey === undefined ? {} : { 'idempotency-key': options.idempotencyKey }),
  ...(options.requestId === undefined ? {} : { 'x-request-id': options.requestId }),
  ...(options.lastEventId === undefined ? {} : { 'last-event-id': options.lastEventId }),
});

const buildBody = ({ model, content, targetTokens }: ChatOptions): string =>
  JSON.stringify({
    model,
    stream: true,
    messages: [{ role: 'user', content }],
    ...(targetTokens === undefined ? {} : { metadata: { target_tokens: targetTokens.toString() } }),
  });

/**
 * Opens a stream at the caller API, or resumes one.
 *
 * @param target - address and key
 * @param options - model and prompt; with `lastEventId` the stream resumes after that event
 * @returns handle of the stream, or the refusal
 * @throws Error when no answer is received
 */
export const openStream = async (
  target: CallerTarget,
  options: ChatOptions,
): Promise<StreamAnswer> => {
  const startedAt = performance.now();
  const answer = await request(`${target.baseUrl}/v1/chat/completions`, {
    method: 'POST',
    headers: buildHeaders(target, options),
    body: buildBody(options),
    // Uses a separate connection, so that closing the stream does not affect other requests.
    reset: true,
  });
  const { statusCode: status } = answer;
  if (status !== 200) {
    return { kind: 'refused', status, problem: parseProblem(await answer.body.text()) };
  }
  return createStreamHandle(answer, startedAt);
};

const createStreamHandle = (
  answer: Dispatcher.ResponseData,
  startedAt: number,
): Extract<StreamAnswer, { kind: 'stream' }> => {
  const watch = createWatch<StreamState>();
  watch.publish(INITIAL_STATE);
  const parser = createParser({
    onEvent: ({ id, event, data }) => {
      watch.publish(applyEvent(watch.get(), { id, event, data }, performance.now() - startedAt));
    },
  });
  const finish = (reason: string): void => {
    const state = watch.get();
    watch.publish({ ...state, end: state.end ?? { kind: 'interrupted', reason } });
  };
  const decoder = new TextDecoder();
  answer.body.on('data', (bytes: Buffer) => {
    parser.feed(decoder.decode(bytes, { stream: true }));
  });
  answer.body.once('end', () => {
    finish('the connection ended before the end-of-stream marker');
  });
  answer.body.once('error', (error) => {
    finish(error.message);
  });
  answer.body.once('close', () => {
    finish('the caller closed the connection');
  });
  const requestId = answer.headers['x-request-id'];
  return {
    kind: 'stream',
    requestId: typeof requestId === 'string' ? requestId : '',
    waitForChunks: (count) =>
      watch.wait((state) =>
        state.texts.length >= count || state.end !== undefined ? state : undefined,
      ),
    read: () =>
      watch.wait((state): StreamResult | undefined =>
        state.end === undefined ? undefined : { ...state, end: state.end },
      ),
    close: () => {
      answer.body.destroy();
    },
  };
};
