import { create } from '@bufbuild/protobuf';
import { Code, ConnectError } from '@connectrpc/connect';
import type { ConnectRouter } from '@connectrpc/connect';
import { checkMessageFormat } from './messageFormat.js';
import { createAsyncQueue } from '../../core/asyncQueue.js';
import type { AsyncQueue } from '../../core/asyncQueue.js';
import type { Millis } from '../../core/clock.js';
import { createId } from '../../core/ids.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';
import { encodeCallFailure } from '../../wire/failureCodec.js';
import {
  CallAnswerSchema,
  CallResponseSchema,
  CancelResponseSchema,
  EndpointService,
  FenceResponseSchema,
  GenerateChunksSchema,
  GenerateEventSchema,
  GenerateFinishedSchema,
  GenerateStartedSchema,
} from '../../wire/gen/chestnutspan/v1/chestnutspan_pb.js';
import type {
  CallAnswer,
  CallResponse,
  FenceResponse,
  GenerateEvent,
  GenerateRequest,
} from '../../wire/gen/chestnutspan/v1/chestnutspan_pb.js';
import { checkBodySize } from '../../wire/messageSize.js';
import { createRpcListener } from '../../wire/rpcListener.js';
import type { RpcMemory } from '../../wire/rpcListener.js';
import type {
  CallId,
  EndpointEvent,
  FenceResult,
  GenerateCall,
  Importance,
  ServiceAnswer,
} from '../types.js';

const IMPORTANCES: readonly Importance[] = ['critical', 'standard', 'background'];

const parseImportance = (value: string): Importance =>
  IMPORTANCES.find((known) => known === value) ?? 'standard';

const toGenerateCall = (
  callId: CallId,
  message: GenerateRequest,
  receivedAt: Millis,
): GenerateCall => ({
  callId,
  format: message.format,
  mode: message.mode === 'resume' ? 'resume' : 'start',
  generationId: message.generationId,
  requestId: message.requestId,
  customer: message.customer,
  className: message.className,
  route: message.route,
  incarnation: message.incarnation,
  resumeFrom: message.resumeFrom,
  importance: parseImportance(message.importance),
  deadlineAt: receivedAt + message.deadlineMs,
  promptTokens: message.promptTokens,
  entry: message.entry,
  stream: message.stream,
  link: message.link,
  nonce: message.nonce === '' ? null : message.nonce,
  body: message.body,
});

const toAnswerMessage = (answer: ServiceAnswer): CallAnswer =>
  create(CallAnswerSchema, {
    status: answer.status,
    headers: answer.headers.map(({ name, value }) => ({ name, value })),
    body: answer.body,
  });

/**
 * Throws for an unknown format. The responses of these calls have no field for a failure, so it is
 * returned as the error of the call.
 */
const assertMessageFormat = (format: number): void => {
  const failure = checkMessageFormat(format);
  if (failure !== null) throw new ConnectError(failure.message, Code.InvalidArgument);
};

/** Adapter between the loop and the RPC calls of entry daemons. */
export interface RpcServer {
  readonly sendStarted: (callId: CallId) => void;
  readonly sendChunks: (callId: CallId, firstNumber: number, choices: readonly string[]) => void;
  readonly sendFinished: (
    callId: CallId,
    chunkCount: number,
    usage: string,
    digest: string,
  ) => void;
  readonly sendFailure: (callId: CallId, failure: Failure) => void;
  readonly replyAnswer: (callId: CallId, answer: ServiceAnswer) => void;
  readonly replyFailure: (callId: CallId, failure: Failure) => void;
  readonly replyFence: (callId: CallId, result: FenceResult, answer: ServiceAnswer | null) => void;
  /** Fails the open streams after a restart of the child that owned their state. */
  readonly failReaders: () => void;
  /** Fails the open service calls after a restart of the child that owned their state. */
  readonly failCalls: () => void;
  readonly listen: (host: string, port: number) => Promise<string>;
  readonly close: () => Promise<void>;
}

const LOST_STATE_MESSAGE = 'the endpoint daemon lost the state of the request';
const LOST_STREAM = createFailure('may-have-run', 'stream-lost', LOST_STATE_MESSAGE);
const LOST_CALL = createFailure('may-have-run', 'endpoint-failed', LOST_STATE_MESSAGE);
const SHED_FAILURE = createFailure('not-run', 'overloaded', 'the event queue is full');

/**
 * Creates the server of `EndpointService`.
 *
 * @param incarnation - incarnation of this process
 * @param now - clock of the deadlines
 * @param post - queues an event; returns `shed` when the queue is full
 * @param memory - memory that the peers can fill; by default of a fixed size
 * @returns the server, not yet listening
 */
export const createRpcServer = (
  incarnation: string,
  now: () => Millis,
  post: (event: EndpointEvent) => 'queued' | 'shed',
  memory?: RpcMemory,
): RpcServer => {
  const readers = new Map<CallId, AsyncQueue<GenerateEvent>>();
  const calls = new Map<CallId, (answer: CallResponse) => void>();
  const fences = new Map<CallId, (answer: FenceResponse) => void>();

  async function* streamGeneration(message: GenerateRequest): AsyncGenerator<GenerateEvent> {
    const callId = createId();
    const queue = createAsyncQueue<GenerateEvent>();
    readers.set(callId, queue);
    const call = toGenerateCall(callId, message, now());
    if (post({ to: 'rpc', kind: 'generate-requested', call }) === 'shed') {
      sendFailure(callId, SHED_FAILURE);
    }
    try {
      for await (const event of queue) {
        yield event;
        if (event.event.case !== 'chunks') continue;
        const { firstNumber, choices } = event.event.value;
        // The transport has accepted the message, so the buffer may drop these chunks and send
        // more.
        const nextNumber = firstNumber + choices.length;
        post({ to: 'streams', kind: 'reader-acknowledged', callId, nextNumber });
      }
    } finally {
      readers.delete(callId);
      post({ to: 'streams', kind: 'reader-disconnected', callId });
    }
  }

  const push = (callId: CallId, event: GenerateEvent['event'], position: 'more' | 'last'): void => {
    const queue = readers.get(callId);
    if (queue === undefined) return;
    queue.push(create(GenerateEventSchema, { event }));
    if (position === 'more') return;
    readers.delete(callId);
    queue.end();
  };

  const sendFailure = (callId: CallId, failure: Failure): void => {
    push(callId, { case: 'failed', value: encodeCallFailure(failure) }, 'last');
  };

  const replyCall = (callId: CallId, result: CallResponse['result']): void => {
    const resolve = calls.get(callId);
    calls.delete(callId);
    resolve?.(create(CallResponseSchema, { result }));
  };

  const replyFailure = (callId: CallId, failure: Failure): void => {
    replyCall(callId, { case: 'failure', value: encodeCallFailure(failure) });
  };

  const registerRoutes = (router: ConnectRouter): void => {
    router.service(EndpointService, {
      generate: streamGeneration,
      call: (message) =>
        new Promise<CallResponse>((resolve) => {
          const callId = createId();
          calls.set(callId, resolve);
          const call = {
            callId,
            format: message.format,
            requestId: message.requestId,
            customer: message.customer,
            className: message.className,
            importance: parseImportance(message.importance),
            incarnation: message.incarnation,
            nonce: message.nonce === '' ? null : message.nonce,
            method: message.method,
            path: message.path,
            headers: message.headers.map(({ name, value }) => ({ name, value })),
            body: message.body,
            deadlineAt: now() + message.deadlineMs,
            entry: message.entry,
          };
          if (post({ to: 'rpc', kind: 'call-requested', call }) === 'shed') {
            replyFailure(callId, SHED_FAILURE);
          }
        }),
      cancel: (message) => {
        assertMessageFormat(message.format);
        const { generationId } = message;
        post({ to: 'streams', kind: 'cancel', generationId, incarnation: message.incarnation });
        return create(CancelResponseSchema);
      },
      fence: (message) => {
        assertMessageFormat(message.format);
        return new Promise<FenceResponse>((resolve) => {
          const callId = createId();
          fences.set(callId, resolve);
          const { format, nonce } = message;
          const call = { callId, format, nonce, incarnation: message.incarnation };
          post({ to: 'calls', kind: 'fence', call });
        });
      },
    });
  };

  const listener = createRpcListener(registerRoutes, memory);

  return {
    sendStarted: (callId) => {
      push(
        callId,
        { case: 'started', value: create(GenerateStartedSchema, { incarnation }) },
        'more',
      );
    },
    sendChunks: (callId, firstNumber, choices) => {
      const value = create(GenerateChunksSchema, { firstNumber, choices: [...choices] });
      push(callId, { case: 'chunks', value }, 'more');
    },
    sendFinished: (callId, chunkCount, usage, digest) => {
      const value = create(GenerateFinishedSchema, { chunkCount, usage, digest });
      push(callId, { case: 'finished', value }, 'last');
    },
    sendFailure,
    replyAnswer: (callId, answer) => {
      const failure = checkBodySize(answer.body, 'answer of the service', 'ran');
      if (failure !== null) replyFailure(callId, failure);
      else replyCall(callId, { case: 'answer', value: toAnswerMessage(answer) });
    },
    replyFailure,
    replyFence: (callId, result, answer) => {
      const resolve = fences.get(callId);
      fences.delete(callId);
      const isSendable = answer !== null && checkBodySize(answer.body, 'answer', 'ran') === null;
      const optional = isSendable ? { answer: toAnswerMessage(answer) } : {};
      resolve?.(create(FenceResponseSchema, { result, ...optional }));
    },
    failReaders: () => {
      for (const callId of [...readers.keys()]) sendFailure(callId, LOST_STREAM);
    },
    failCalls: () => {
      for (const callId of [...calls.keys()]) replyFailure(callId, LOST_CALL);
    },
    listen: listener.listen,
    close: listener.close,
  };
};
