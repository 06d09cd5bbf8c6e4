import { Socket } from 'node:net';
import { Agent, buildConnector, request } from 'undici';
import type { Dispatcher } from 'undici';
import { createParser } from 'eventsource-parser';
import { z } from 'zod';
import { readBoundedBody } from './boundedBody.js';
import {
  ENGINE_CONNECTIONS,
  ENGINE_PROBE_TIMEOUT_MS,
  MAX_ANSWER_BYTES,
  MAX_CHUNK_BYTES,
  MAX_PAGE_BYTES,
} from './constants.js';
import type { Clock } from '../../core/clock.js';
import { reportResets } from '../../core/http/connectionResets.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';
import type { GenerationId } from '../../core/ids.js';
import { createEventSplitter, splitEvents } from '../../decisions/forwarding/eventSplitter.js';
import type { EndpointEvent, GenerateCall, ServiceAnswer, ServiceCall } from '../types.js';

const healthSchema = z.object({
  status: z.enum(['warming', 'ready', 'failing']),
  startId: z.string(),
});

const loadSchema = z.object({
  startId: z.string(),
  running: z.number(),
  waiting: z.number(),
  memoryUsedTokens: z.number(),
  memoryTotalTokens: z.number(),
  tokensPerSecond: z.number(),
  preemptions: z.number(),
  ageMs: z.number(),
});

const cacheEventsSchema = z.object({
  events: z.array(
    z.object({
      sequence: z.number(),
      kind: z.enum(['stored', 'evicted']),
      prefix: z.string(),
      at: z.number(),
    }),
  ),
  next: z.number(),
});

const chunkSchema = z.object({
  choices: z.array(z.unknown()),
  usage: z.unknown().optional(),
});

/** Network errors that prove that the request did not reach the endpoint. */
const UNSENT_ERRORS: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'UND_ERR_CONNECT_TIMEOUT',
  'EHOSTUNREACH',
  'ENETUNREACH',
]);

/** Code of a reset connection, by a name that undici does not treat as the end of an answer. */
const RESET_CODE = 'ERR_CONNECTION_RESET';

/**
 * Creates a connector on whose connections a reset is an error. undici takes ECONNRESET for the end
 * of an answer that has neither length nor chunks, so that one that was broken off looks complete.
 */
const createConnector = (): buildConnector.connector => {
  const connect = buildConnector({});
  return (options, callback) => {
    connect(options, (...result) => {
      const [, socket] = result;
      // A connection that failed has no socket; undici passes undefined against its types.
      if (socket instanceof Socket) reportResets(socket);
      socket?.prependListener('error', (error: NodeJS.ErrnoException) => {
        if (error.code === 'ECONNRESET') error.code = RESET_CODE;
      });
      callback(...result);
    });
  };
};

const getErrorCode = (error: unknown): string =>
  error instanceof Error && 'code' in error ? String(error.code) : '';

const getErrorMessage = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);

const toFailure = (error: unknown): Failure =>
  UNSENT_ERRORS.has(getErrorCode(error))
    ? createFailure('not-run', 'endpoint-lost', `endpoint unreachable: ${getErrorMessage(error)}`)
    : createFailure('may-have-run', 'endpoint-lost', `endpoint failed: ${getErrorMessage(error)}`);

const toStatusFailure = (status: number, body: string): Failure => {
  const message = `endpoint answered ${status.toString()}: ${body.slice(0, 500)}`;
  if (status === 429) return createFailure('not-run', 'overloaded', message);
  if (status >= 400 && status < 500) return createFailure('not-run', 'bad-request', message);
  return createFailure('may-have-run', 'endpoint-failed', message);
};

/** Suspends reading from the engine's connection until it is resumed. */
interface ReadPause {
  readonly resumed: Promise<void>;
  readonly resume: () => void;
}

interface RunningGeneration {
  readonly controller: AbortController;
  /** Set while reading is paused; TCP flow control then slows down the engine's sender. */
  pause: ReadPause | null;
}

const createReadPause = (): ReadPause => {
  let resume: () => void = () => undefined;
  const resumed = new Promise<void>((resolve) => {
    resume = resolve;
  });
  return { resumed, resume };
};

/** Adapter that calls the endpoint; results are posted as events. */
export interface EngineClient {
  readonly fetchHealth: () => void;
  readonly fetchLoad: () => void;
  readonly fetchCacheEvents: (from: number) => void;
  /** Starts a generation; the engine serves lower priority numbers first. */
  readonly startGeneration: (
    generationId: GenerationId,
    call: GenerateCall,
    priority: number,
  ) => void;
  readonly cancelGeneration: (generationId: GenerationId) => void;
  readonly cancelAll: () => void;
  readonly setFlow: (generationId: GenerationId, flow: 'flowing' | 'paused') => void;
  readonly callService: (call: ServiceCall) => void;
  readonly close: () => Promise<void>;
}

/**
 * Creates the adapter to the endpoint's HTTP interface. Each completion is posted as an event.
 *
 * @param baseUrl - address of the engine or service
 * @param clock - clock that timestamps the health requests, and of the deadlines
 * @param post - receives the events
 * @returns the adapter
 */
export const createEngineClient = (
  baseUrl: string,
  clock: Clock,
  post: (event: EndpointEvent) => void,
): EngineClient => {
  // Each request has a connection of its own (`pipelining: 0`). On a kept one, an answer that the
  // endpoint writes again would be taken for that to the next request.
  const agent = new Agent({
    connect: createConnector(),
    connections: ENGINE_CONNECTIONS,
    pipelining: 0,
    bodyTimeout: 0,
  });
  const running = new Map<GenerationId, RunningGeneration>();

  const fetchJson = async (path: string): Promise<unknown> => {
    const answer = await request(`${baseUrl}${path}`, {
      dispatcher: agent,
      signal: AbortSignal.timeout(ENGINE_PROBE_TIMEOUT_MS),
    });
    const bytes = await readBoundedBody(answer.body, MAX_PAGE_BYTES);
    const body: unknown = JSON.parse(bytes.toString());
    if (answer.statusCode !== 200) throw new Error(`status ${answer.statusCode.toString()}`);
    return body;
  };

  const fetchHealth = (): void => {
    const requestedAt = clock.now();
    fetchJson('/health').then(
      (body) => {
        const parsed = healthSchema.safeParse(body);
        post(
          parsed.success
            ? { to: 'engine', kind: 'health-received', health: parsed.data, requestedAt }
            : { to: 'engine', kind: 'health-failed', reason: z.prettifyError(parsed.error) },
        );
      },
      (error: unknown) => {
        post({ to: 'engine', kind: 'health-failed', reason: getErrorMessage(error) });
      },
    );
  };

  const fetchLoad = (): void => {
    fetchJson('/load').then(
      (body) => {
        const parsed = loadSchema.safeParse(body);
        if (parsed.success) post({ to: 'engine', kind: 'load-received', load: parsed.data });
      },
      (error: unknown) => {
        post({ to: 'engine', kind: 'health-failed', reason: getErrorMessage(error) });
      },
    );
  };

  const fetchCacheEvents = (from: number): void => {
    fetchJson(`/cache-events?from=${from.toString()}`).then(
      (body) => {
        const parsed = cacheEventsSchema.safeParse(body);
        if (!parsed.success) return;
        post({ to: 'engine', kind: 'cache-events-received', ...parsed.data });
      },
      // Cache events are hints that arrive late anyway; the next poll requests them again.
      () => undefined,
    );
  };

  const readChunks = async (
    generationId: GenerationId,
    body: Dispatcher.ResponseData['body'],
    state: RunningGeneration,
  ): Promise<void> => {
    const progress: { state: 'open' | 'done'; usage: string } = { state: 'open', usage: '' };
    let choices: string[] = [];
    const parser = createParser({
      onEvent: (event) => {
        if (event.data === '[DONE]') {
          progress.state = 'done';
          return;
        }
        const chunk = chunkSchema.parse(JSON.parse(event.data));
        if (chunk.usage !== undefined && chunk.usage !== null) {
          progress.usage = JSON.stringify(chunk.usage);
        }
        if (chunk.choices.length > 0) choices.push(JSON.stringify(chunk.choices));
      },
    });
    // The parser keeps each line of an incomplete event as an object of the heap.
    const splitter = createEventSplitter();
    const decoder = new TextDecoder();
    let bytesSinceEvent = 0;
    for await (const part of body) {
      bytesSinceEvent += (part as Uint8Array).length;
      const { events } = splitEvents(splitter, part as Uint8Array);
      for (const { bytes } of events) parser.feed(decoder.decode(bytes, { stream: true }));
      if (choices.length > 0) {
        post({ to: 'streams', kind: 'engine-chunks', generationId, choices });
        choices = [];
        bytesSinceEvent = 0;
      }
      if (bytesSinceEvent > MAX_CHUNK_BYTES) throw new Error('a chunk of the stream has no end');
      if (state.pause !== null) await state.pause.resumed;
    }
    if (progress.state === 'open') {
      throw new Error('the engine ended the stream without a [DONE] event');
    }
    post({ to: 'streams', kind: 'engine-finished', generationId, usage: progress.usage });
  };

  const runGeneration = async (
    generationId: GenerationId,
    call: GenerateCall,
    priority: number,
  ): Promise<void> => {
    const controller = new AbortController();
    const state: RunningGeneration = { controller, pause: null };
    running.set(generationId, state);
    try {
      const body = JSON.parse(Buffer.from(call.body).toString('utf8')) as Record<string, unknown>;
      const answer = await request(`${baseUrl}/v1/chat/completions`, {
        method: 'POST',
        dispatcher: agent,
        signal: controller.signal,
        headersTimeout: 0,
        headers: {
          'content-type': 'application/json',
          'x-request-id': call.requestId,
          'x-chestnutspan-class': call.className,
          'x-chestnutspan-route': call.route,
        },
        body: JSON.stringify({
          ...body,
          stream: true,
          stream_options: { include_usage: true },
          priority,
        }),
      });
      if (answer.statusCode !== 200) {
        const failure = toStatusFailure(
          answer.statusCode,
          (await readBoundedBody(answer.body, MAX_PAGE_BYTES)).toString(),
        );
        post({ to: 'streams', kind: 'engine-failed', generationId, failure });
        return;
      }
      await readChunks(generationId, answer.body, state);
    } catch (error) {
      if (controller.signal.aborted) return;
      post({ to: 'streams', kind: 'engine-failed', generationId, failure: toFailure(error) });
    } finally {
      running.delete(generationId);
    }
  };

  const readAnswer = async (response: Dispatcher.ResponseData): Promise<ServiceAnswer> => {
    const body = new Uint8Array(await readBoundedBody(response.body, MAX_ANSWER_BYTES));
    const type = response.headers['content-type'];
    const headers = typeof type === 'string' ? [{ name: 'content-type', value: type }] : [];
    return { status: response.statusCode, headers, body };
  };

  const runCall = async (call: ServiceCall): Promise<void> => {
    // Taken here and not at the receipt, since the call may have waited or the process stood still.
    const leftMs = call.deadlineAt - clock.now();
    if (leftMs <= 0) {
      const message = 'the deadline passed before the call was sent to the service';
      const failure = createFailure('not-run', 'deadline-exceeded', message);
      post({ to: 'calls', kind: 'service-failed', callId: call.callId, failure });
      return;
    }
    try {
      const response = await request(`${baseUrl}${call.path}`, {
        method: call.method as Dispatcher.HttpMethod,
        dispatcher: agent,
        signal: AbortSignal.timeout(Math.ceil(leftMs)),
        headers: Object.fromEntries(call.headers.map(({ name, value }) => [name, value])),
        body: call.body.length > 0 ? call.body : null,
      });
      const answer = await readAnswer(response);
      post({ to: 'calls', kind: 'service-answered', callId: call.callId, answer });
    } catch (error) {
      post({
        to: 'calls',
        kind: 'service-failed',
        callId: call.callId,
        failure: toFailure(error),
      });
    }
  };

  const cancelGeneration = (generationId: GenerationId): void => {
    running.get(generationId)?.pause?.resume();
    running.get(generationId)?.controller.abort();
    running.delete(generationId);
  };

  return {
    fetchHealth,
    fetchLoad,
    fetchCacheEvents,
    startGeneration: (generationId, call, priority) =>
      void runGeneration(generationId, call, priority),
    cancelGeneration,
    cancelAll: () => {
      for (const generationId of [...running.keys()]) cancelGeneration(generationId);
    },
    setFlow: (generationId, flow) => {
      const state = running.get(generationId);
      if (state === undefined) return;
      state.pause?.resume();
      state.pause = flow === 'paused' ? createReadPause() : null;
    },
    callService: (call) => void runCall(call),
    close: () => agent.destroy(),
  };
};
