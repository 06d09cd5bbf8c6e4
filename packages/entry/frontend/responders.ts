import { validateHeaderName, validateHeaderValue } from 'node:http';
import type { FastifyReply } from 'fastify';
import { Result } from 'ts-results-es';
import { MAX_CALLER_BACKLOG_BYTES } from './constants.js';
import { buildWholeAnswer, formatAnswerFields } from './wholeAnswer.js';
import type { AnswerIdentity } from './wholeAnswer.js';
import type { RequestId } from '../../core/ids.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';
import { toProblem } from '../../wire/problem.js';
import { formatEventId } from '../../wire/resumeTicket.js';
import type { AnswerForm, ServiceAnswer } from '../types.js';

/** Consecutive chunks of one generation to write to a caller. */
export interface ChunkWrite {
  readonly requestId: RequestId;
  readonly identity: AnswerIdentity;
  readonly ticket: string;
  readonly fromNumber: number;
  readonly chunks: readonly string[];
}

/** Connections of callers whose requests are open. */
export interface Responders {
  /** Registers the connection of a request; Fastify no longer answers on it. */
  readonly open: (requestId: RequestId, reply: FastifyReply, form: AnswerForm) => void;
  readonly has: (requestId: RequestId) => boolean;
  readonly count: () => number;
  /** Writes chunks; returns `slow` when the caller's unsent backlog exceeds its limit. */
  readonly writeChunks: (write: ChunkWrite) => 'written' | 'slow';
  readonly finishGeneration: (requestId: RequestId, usage: string) => void;
  readonly sendAnswer: (requestId: RequestId, answer: ServiceAnswer) => void;
  readonly failRequest: (requestId: RequestId, failure: Failure) => void;
  /** Destroys a connection without completing its answer. */
  readonly closeConnection: (requestId: RequestId) => void;
  readonly failAll: (failure: Failure) => void;
  /** Sends a resume ticket and ends the stream without `[DONE]`. */
  readonly endWithTicket: (requestId: RequestId, ticket: string, nextNumber: number) => void;
}

/** Connection of one open request. */
interface Responder {
  readonly reply: FastifyReply;
  readonly form: AnswerForm;
  identity: AnswerIdentity | null;
  /** Chunks that wait for the end of a `whole` answer. */
  chunks: string[];
  /** JSON up to the choices, which all events of a stream share. */
  eventPrefix: string;
}

const SSE_HEADERS = {
  'content-type': 'text/event-stream; charset=utf-8',
  'cache-control': 'no-cache',
  connection: 'keep-alive',
} as const;

const formatEventPrefix = (identity: AnswerIdentity): string => {
  const fields = JSON.stringify(formatAnswerFields(identity, 'chat.completion.chunk'));
  return `data: ${fields.slice(0, -1)},"choices":`;
};

const sendJson = (
  responder: Responder,
  requestId: RequestId,
  status: number,
  type: string,
  body: unknown,
): void => {
  const { raw } = responder.reply;
  raw.writeHead(status, { 'content-type': type, 'x-request-id': requestId });
  raw.end(JSON.stringify(body));
};

const sendProblem = (responder: Responder, requestId: RequestId, failure: Failure): void => {
  const problem = toProblem(failure, requestId);
  const { raw } = responder.reply;
  if (failure.retryAfterMs !== undefined) {
    raw.setHeader('retry-after', Math.max(1, Math.ceil(failure.retryAfterMs / 1_000)));
  }
  sendJson(responder, requestId, problem.status, 'application/problem+json', problem);
};

const MIN_STATUS = 200;
const MAX_STATUS = 999;

/** Reports whether an answer can be sent; writing the head of any other one throws. */
const isSendable = ({ headers, status }: ServiceAnswer): boolean =>
  Number.isInteger(status) &&
  status >= MIN_STATUS &&
  status <= MAX_STATUS &&
  headers.every(({ name, value }) =>
    Result.wrap(() => {
      validateHeaderName(name);
      validateHeaderValue(name, value);
    }).isOk(),
  );

const INVALID_ANSWER = createFailure(
  'may-have-run',
  'endpoint-failed',
  'the answer of the endpoint has an invalid status or header',
);

/**
 * Creates the table of open connections. Only effects of the loop write to a connection.
 *
 * @returns the empty table
 */
export const createResponders = (): Responders => {
  const openResponders = new Map<RequestId, Responder>();

  const startAnswer = (responder: Responder, requestId: RequestId, identity: AnswerIdentity) => {
    if (responder.identity !== null) return;
    responder.identity = identity;
    responder.eventPrefix = formatEventPrefix(identity);
    if (responder.form.kind === 'stream') {
      responder.reply.raw.writeHead(200, { ...SSE_HEADERS, 'x-request-id': requestId });
    }
  };

  const removeResponder = (requestId: RequestId): Responder | undefined => {
    const responder = openResponders.get(requestId);
    openResponders.delete(requestId);
    return responder;
  };

  const failRequest = (requestId: RequestId, failure: Failure): void => {
    const responder = removeResponder(requestId);
    if (responder === undefined) return;
    const { raw } = responder.reply;
    if (!raw.headersSent) {
      sendProblem(responder, requestId, failure);
      return;
    }
    const problem = toProblem(failure, requestId);
    raw.end(`event: error\ndata: ${JSON.stringify({ ...problem })}\n\n`);
  };

  return {
    open: (requestId, reply, form) => {
      reply.hijack();
      openResponders.set(requestId, { reply, form, identity: null, chunks: [], eventPrefix: '' });
    },
    has: (requestId) => openResponders.has(requestId),
    count: () => openResponders.size,
    writeChunks: ({ requestId, identity, ticket, fromNumber, chunks }) => {
      const responder = openResponders.get(requestId);
      if (responder === undefined) return 'written';
      startAnswer(responder, requestId, identity);
      if (responder.form.kind === 'whole') {
        for (const chunk of chunks) responder.chunks.push(chunk);
        return 'written';
      }
      const { eventPrefix } = responder;
      const text = chunks
        .map(
          (chunk, index) =>
            `id: ${formatEventId(ticket, fromNumber + index)}\n${eventPrefix}${chunk}}\n\n`,
        )
        .join('');
      const { raw } = responder.reply;
      raw.write(text);
      return raw.writableLength > MAX_CALLER_BACKLOG_BYTES ? 'slow' : 'written';
    },
    finishGeneration: (requestId, usage) => {
      const responder = removeResponder(requestId);
      if (responder === undefined) return;
      const { raw } = responder.reply;
      const { identity, form } = responder;
      if (form.kind === 'whole' && identity !== null) {
        const body = buildWholeAnswer(identity, responder.chunks, usage);
        sendJson(responder, requestId, 200, 'application/json; charset=utf-8', body);
        return;
      }
      if (!raw.headersSent) raw.writeHead(200, { ...SSE_HEADERS, 'x-request-id': requestId });
      if (form.kind === 'stream' && form.usage === 'included' && usage !== '') {
        raw.write(`${responder.eventPrefix}[],"usage":${usage}}\n\n`);
      }
      raw.end('data: [DONE]\n\n');
    },
    sendAnswer: (requestId, answer) => {
      if (!isSendable(answer)) {
        failRequest(requestId, INVALID_ANSWER);
        return;
      }
      const responder = openResponders.get(requestId);
      if (responder === undefined) return;
      const headers = answer.headers.map(({ name, value }) => [name, value] as const);
      const { raw } = responder.reply;
      raw.writeHead(answer.status, { ...Object.fromEntries(headers), 'x-request-id': requestId });
      raw.end(answer.body);
      // An answer that could not be sent stays open, so that its connection can be closed.
      openResponders.delete(requestId);
    },
    failRequest,
    closeConnection: (requestId) => {
      removeResponder(requestId)?.reply.raw.destroy();
    },
    failAll: (failure) => {
      for (const requestId of [...openResponders.keys()]) failRequest(requestId, failure);
    },
    endWithTicket: (requestId, ticket, nextNumber) => {
      const responder = removeResponder(requestId);
      if (responder === undefined) return;
      const { raw } = responder.reply;
      if (!raw.headersSent) raw.writeHead(200, { ...SSE_HEADERS, 'x-request-id': requestId });
      // `retry: 0` makes event-stream clients reconnect immediately with the last event id.
      raw.end(`retry: 0\nid: ${formatEventId(ticket, nextNumber - 1)}\n: moved\n\n`);
    },
  };
};
