import { createHash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import fastify from 'fastify';
import type { FastifyError, FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { createKeyTable } from './authentication.js';
import { REQUEST_TIMEOUT_MS } from './constants.js';
import { parseIdempotencyKey } from './idempotencyKey.js';
import { parseRequestBody } from './requestBody.js';
import { readCallerRequestId } from './requestId.js';
import type { Responders } from './responders.js';
import { findServiceRoute } from './serviceRoutes.js';
import type { Clock } from '../../core/clock.js';
import { createListenerMemory, createPacedListener } from '../../core/http/pacing/pacedListener.js';
import type { ListenerMemory } from '../../core/http/pacing/pacedListener.js';
import { createRequestBodies, hasBody } from '../../core/http/requestBodies.js';
import type { RequestBodies } from '../../core/http/requestBodies.js';
import { createId } from '../../core/ids.js';
import type { ModelName } from '../../core/ids.js';
import { createMemoryAccount } from '../../core/memory/memoryAccount.js';
import type { MemoryAccount } from '../../core/memory/types.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';
import { toResumeRefusal } from '../../decisions/streams/verdicts.js';
import type { EntrySettings } from '../../settings/types.js';
import { toProblem } from '../../wire/problem.js';
import { verifyEventId } from '../../wire/resumeTicket.js';
import type { AnswerForm, CallerRequest, HeaderField } from '../types.js';

type Customer = EntrySettings['customers'][number];

/** Dependencies of the callers' server. */
export interface CallerServerOptions {
  readonly settings: EntrySettings;
  readonly clock: Clock;
  readonly responders: Responders;
  readonly postRequest: (request: CallerRequest) => 'queued' | 'shed';
  readonly postCallerGone: (requestId: string) => void;
  readonly listModels: () => readonly ModelName[];
  /** Memory that callers can fill; by default of a fixed size. */
  readonly memory?: CallerMemory;
}

/** Memory that callers can fill. */
export interface CallerMemory extends ListenerMemory {
  /** Bodies of requests in progress. */
  readonly bodies: MemoryAccount;
}

/** Server for callers, with the requests that it has read. */
export interface CallerServer {
  readonly server: FastifyInstance;
  /** Counts the connections with a request that was read whole, and whose answer is due. */
  readonly countDue: () => number;
}

const OPERATOR_PATH = '/operator/';

/** Headers of a service call that are forwarded; others concern the connection to the caller. */
const FORWARDED_HEADERS: ReadonlySet<string> = new Set([
  'accept',
  'content-type',
  'idempotency-key',
  'x-request-id',
]);

/** Returns the value of a header, which may be empty, or undefined when it is absent. */
const getRawHeader = (request: FastifyRequest, name: string): string | undefined => {
  const value = request.headers[name];
  return typeof value === 'string' ? value : undefined;
};

const getHeader = (request: FastifyRequest, name: string): string | undefined => {
  const value = getRawHeader(request, name);
  return value === '' ? undefined : value;
};

const isResume = (request: FastifyRequest): boolean =>
  getHeader(request, 'last-event-id') !== undefined;

const toBytes = (body: unknown): Uint8Array => (body instanceof Buffer ? body : new Uint8Array());

const readIdempotencyKey = (request: FastifyRequest) =>
  parseIdempotencyKey({
    key: getRawHeader(request, 'idempotency-key'),
    issuedAt: getRawHeader(request, 'idempotency-key-issued-at'),
  }).map(({ key, issuedAt }) => ({ key, keyIssuedAt: issuedAt }));

const sendProblem = (reply: FastifyReply, requestId: string, failure: Failure): FastifyReply => {
  const problem = toProblem(failure, requestId);
  return reply
    .code(problem.status)
    .header('x-request-id', requestId)
    .type('application/problem+json')
    .send(problem);
};

/**
 * Creates the HTTP server for callers. It validates and parses requests; the loop decides on them.
 *
 * @param options - settings, open connections and functions that post to the loop
 * @returns the server, not yet listening
 */
export const createCallerServer = (options: CallerServerOptions): CallerServer => {
  const { settings, clock, responders } = options;
  const customers = createKeyTable<Customer>(settings.customers);
  const operators = createKeyTable(settings.operators);
  const { maxBodyBytes, maxTotalBodyBytes } = settings.limits;
  const { memory = { ...createListenerMemory(), bodies: createMemoryAccount(maxTotalBodyBytes) } } =
    options;
  const server = fastify({
    bodyLimit: maxBodyBytes,
    forceCloseConnections: 'idle',
    requestIdHeader: false,
    requestTimeout: REQUEST_TIMEOUT_MS,
  });
  const listener = createPacedListener(server.server, clock, memory);
  const bodies = createRequestBodies(memory.bodies, maxBodyBytes, listener.closeStalled);
  server.removeAllContentTypeParsers();
  const responses = new WeakMap<IncomingMessage, ServerResponse>();
  server.addHook('onRequest', (request, reply, done) => {
    responses.set(request.raw, reply.raw);
    if (listener.checkRoom(request.raw) === 'refused') refuseUnread(request, reply, NO_ROOM);
    else if (hasBody(request.raw) && !hasKey(request))
      refuseUnread(request, reply, getNoKey(request));
    else done();
  });
  server.addContentTypeParser('*', async ({ raw }: FastifyRequest) =>
    readBody(raw, responses.get(raw), bodies),
  );

  const readRequestId = (request: FastifyRequest): string => {
    const callerRequestId = readCallerRequestId(request);
    return callerRequestId !== undefined && !responders.has(callerRequestId)
      ? callerRequestId
      : createId();
  };

  /** The body of a stranger is not read: it costs memory and, in small chunks, much processor time. */
  const hasKey = ({ headers: { authorization } }: FastifyRequest): boolean =>
    customers.findHolder(authorization) !== undefined ||
    operators.findHolder(authorization) !== undefined;

  /** The connection ends with the answer, since the body of the request is not read. */
  const refuseUnread = (request: FastifyRequest, reply: FastifyReply, failure: Failure): void => {
    const refusal = isResume(request) ? toResumeRefusal(failure) : failure;
    void sendProblem(reply.header('connection', 'close'), readRequestId(request), refusal);
  };

  const readCommonFields = (request: FastifyRequest, requestId: string, customer: Customer) => ({
    requestId,
    customer: customer.id,
    className: getHeader(request, 'x-chestnutspan-class') ?? null,
    receivedAt: clock.now(),
  });

  const submit = (reply: FastifyReply, callerRequest: CallerRequest, form: AnswerForm): void => {
    const { requestId } = callerRequest;
    responders.open(requestId, reply, form);
    reply.raw.on('close', () => {
      if (responders.has(requestId)) options.postCallerGone(requestId);
    });
    if (options.postRequest(callerRequest) === 'queued') return;
    const shed = createFailure('not-run', 'shed', 'the entry daemon is overloaded', 1_000);
    const failure = callerRequest.kind === 'resume' ? toResumeRefusal(shed) : shed;
    responders.failRequest(requestId, failure);
  };

  const readResume = (
    request: FastifyRequest,
    requestId: string,
    customer: Customer,
    eventId: string,
  ): Result<CallerRequest, Failure> => {
    const verified = verifyEventId(eventId, settings.ticketKey, clock.now());
    if (verified.isErr() || verified.value.ticket.customer !== customer.id) {
      const reason = verified.isErr() ? verified.error : 'of another customer';
      const message = `Last-Event-ID is ${reason}`;
      return Err(toResumeRefusal(createFailure('not-run', 'bad-request', message)));
    }
    const { ticket, lastNumber } = verified.value;
    return Ok({
      ...readCommonFields(request, requestId, customer),
      kind: 'resume',
      fingerprint: '',
      parts: [],
      generationId: ticket.generationId,
      endpoint: ticket.endpoint,
      incarnation: ticket.incarnation,
      lastNumber,
    });
  };

  const handleChat = (request: FastifyRequest, reply: FastifyReply): FastifyReply => {
    const requestId = readRequestId(request);
    const customer = customers.findHolder(request.headers.authorization);
    if (customer === undefined) return sendUnauthorized(request, reply, requestId);
    const eventId = getHeader(request, 'last-event-id');
    if (eventId !== undefined) {
      const resume = readResume(request, requestId, customer, eventId);
      if (resume.isErr()) return sendProblem(reply, requestId, resume.error);
      submit(reply, resume.value, { kind: 'stream', usage: 'left-out' });
      return reply;
    }
    const body = toBytes(request.body);
    const parsed = parseRequestBody(body);
    if (parsed.isErr()) return sendProblem(reply, requestId, parsed.error);
    const base = readCommonFields(request, requestId, customer);
    const key = readIdempotencyKey(request);
    if (key.isErr()) return sendProblem(reply, requestId, key.error);
    const chat = { ...base, ...parsed.value, ...key.value, kind: 'generation', body } as const;
    submit(reply, chat, parsed.value.form);
    return reply;
  };

  const handleService = (request: FastifyRequest, reply: FastifyReply): FastifyReply => {
    const requestId = readRequestId(request);
    const customer = customers.findHolder(request.headers.authorization);
    if (customer === undefined) return sendUnauthorized(request, reply, requestId);
    const { name = '', '*': rest = '' } = request.params as Record<string, string | undefined>;
    const route = findServiceRoute(settings.services, name, request.method, `/${rest}`);
    if (route.isErr()) return sendProblem(reply, requestId, route.error);
    const key = readIdempotencyKey(request);
    if (key.isErr()) return sendProblem(reply, requestId, key.error);
    const body = toBytes(request.body);
    const path = request.url.slice(`/services/${name}`.length);
    const callerRequest: CallerRequest = {
      ...readCommonFields(request, requestId, customer),
      kind: 'service',
      service: name,
      method: request.method,
      path,
      headers: listForwardedHeaders(request),
      body,
      repeat: route.value.repeat,
      routeClass: route.value.className ?? null,
      ...key.value,
      fingerprint: hashCall(request.method, `/${name}${path}`, body),
      parts: [],
    };
    submit(reply, callerRequest, { kind: 'whole' });
    return reply;
  };

  server.post('/v1/chat/completions', handleChat);
  server.get('/v1/chat/completions', handleChat);
  server.get('/v1/models', (request, reply) => {
    const requestId = readRequestId(request);
    const customer = customers.findHolder(request.headers.authorization);
    if (customer === undefined) return sendUnauthorized(request, reply, requestId);
    const data = options
      .listModels()
      .map((id) => ({ id, object: 'model', created: 0, owned_by: 'chestnutspan' }));
    return reply.send({ object: 'list', data });
  });
  server.all('/services/:name/*', handleService);

  server.setNotFoundHandler((request, reply) => {
    const message = `no such path: ${request.method} ${request.url}`;
    const failure = createFailure('not-run', 'unknown-service', message);
    return sendProblem(reply, readRequestId(request), failure);
  });
  server.setErrorHandler((error: FastifyError, request, reply) => {
    const failure = toRequestFailure(error, settings.limits.maxBodyBytes);
    const refusal = isResume(request) ? toResumeRefusal(failure) : failure;
    return sendProblem(reply, readRequestId(request), refusal);
  });
  return { server, countDue: listener.countDue };
};

/** Codes of the errors of bodies that were not read whole; the error handler refuses the request. */
const BODY_ERROR_CODES = {
  'too-large': 'BODY_TOO_LARGE',
  'no-room': 'BODY_NO_ROOM',
  broken: 'BODY_BROKEN',
} as const;

/** Reads a body, whose memory stays reserved until the answer to its request has ended. */
const readBody = async (
  incoming: IncomingMessage,
  response: ServerResponse | undefined,
  bodies: RequestBodies,
): Promise<Buffer> => {
  const result = await bodies.read(incoming);
  if (result.kind !== 'whole')
    throw Object.assign(new Error(`the body is ${result.kind}`), {
      code: BODY_ERROR_CODES[result.kind],
    });
  if (response === undefined || response.closed) result.release();
  else response.once('close', result.release);
  return Buffer.concat(result.body);
};

const BODIES_RETRY_AFTER_MS = 200;

const NO_ROOM = createFailure(
  'not-run',
  'overloaded',
  'there is no memory for a further request',
  BODIES_RETRY_AFTER_MS,
);

const toRequestFailure = (error: FastifyError, maxBodyBytes: number): Failure => {
  if (error.code === BODY_ERROR_CODES['too-large']) {
    const message = `body: it is larger than ${maxBodyBytes.toString()} bytes`;
    return createFailure('not-run', 'too-large', message);
  }
  if (error.code === BODY_ERROR_CODES['no-room']) {
    const message = 'the bodies of all requests in progress are too large together';
    return createFailure('not-run', 'overloaded', message, BODIES_RETRY_AFTER_MS);
  }
  const isClientError = error.statusCode !== undefined && error.statusCode < 500;
  return createFailure('not-run', isClientError ? 'bad-request' : 'internal', error.message);
};

const buildNoKey = (key: string): Failure =>
  createFailure('not-run', 'unauthorized', `Authorization: the ${key} key is missing or unknown`);

const NO_CUSTOMER_KEY = buildNoKey('bearer');
const NO_OPERATOR_KEY = buildNoKey('operator');

const getNoKey = ({ url }: FastifyRequest): Failure =>
  url.startsWith(OPERATOR_PATH) ? NO_OPERATOR_KEY : NO_CUSTOMER_KEY;

const sendUnauthorized = (
  request: FastifyRequest,
  reply: FastifyReply,
  requestId: string,
): FastifyReply => {
  const failure = isResume(request) ? toResumeRefusal(NO_CUSTOMER_KEY) : NO_CUSTOMER_KEY;
  return sendProblem(reply, requestId, failure);
};

const listForwardedHeaders = (request: FastifyRequest): readonly HeaderField[] =>
  Object.entries(request.headers).flatMap(([name, value]) =>
    typeof value === 'string' && FORWARDED_HEADERS.has(name) ? [{ name, value }] : [],
  );

const hashCall = (method: string, path: string, body: Uint8Array): string =>
  createHash('sha256').update(`${method} ${path}\n`).update(body).digest('base64url');
