import { constants } from 'node:http2';
import type { Http2ServerRequest, Http2ServerResponse } from 'node:http2';
import { createConnectRouter } from '@connectrpc/connect';
import type { ConnectRouter } from '@connectrpc/connect';
import type { UniversalHandler, UniversalServerRequest } from '@connectrpc/connect/protocol';
import {
  compressionBrotli,
  compressionGzip,
  universalRequestFromNodeRequest,
  universalResponseToNodeResponse,
} from '@connectrpc/connect-node';
import { openCallMemory } from './callMemory.js';
import type { CallMemory } from './callMemory.js';
import { readCallMessage } from './callMessage.js';
import type { MessageFraming, MessageResult } from './callMessage.js';
import { CALL_OVERHEAD_BYTES, MAX_MESSAGE_BYTES } from './constants.js';
import { refuseCall } from './peerConnections.js';
import { assertNever } from '../core/assertNever.js';
import type { Millis } from '../core/clock.js';
import { runAfterReads } from '../core/loop/runAfterReads.js';
import type { MemoryAccount } from '../core/memory/types.js';

/** Forms of the calls between the daemons; the others that the library knows are refused. */
const FRAMINGS: Readonly<Record<string, MessageFraming | undefined>> = {
  'application/proto': 'plain',
  'application/connect+proto': 'prefixed',
};

const ENCODING_HEADERS = ['content-encoding', 'connect-content-encoding'] as const;

const NOT_FOUND = 404;
const UNSUPPORTED_MEDIA_TYPE = 415;

/** What the handler of a listener needs of it. */
export interface RpcHandlerOptions {
  /** Memory for all calls. */
  readonly account: MemoryAccount;
  /** Time in which the message of a call must arrive. */
  readonly messageTimeoutMs: Millis;
  /** Receives each call that waits for its message. */
  readonly beginMessage: (request: Http2ServerRequest) => void;
  /** Receives each call whose message has arrived. */
  readonly beginWork: (request: Http2ServerRequest) => void;
}

/** A call whose memory is reserved. */
interface AdmittedCall {
  readonly request: Http2ServerRequest;
  readonly response: Http2ServerResponse;
  readonly handler: UniversalHandler;
  readonly framing: MessageFraming;
  readonly memory: CallMemory;
  readonly messageTimeoutMs: Millis;
  readonly beginWork: (request: Http2ServerRequest) => void;
}

const waitForTurn = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/** Handles the calls of a listener. */
export type RpcHandler = (request: Http2ServerRequest, response: Http2ServerResponse) => void;

const findFraming = ({ headers }: Http2ServerRequest): MessageFraming | undefined => {
  const isEncoded = ENCODING_HEADERS.some((name) => (headers[name] ?? 'identity') !== 'identity');
  return isEncoded ? undefined : FRAMINGS[headers['content-type'] ?? ''];
};

const sendStatus = (response: Http2ServerResponse, status: number): void => {
  response.writeHead(status);
  response.end();
};

/** Ends a call whose message does not arrive, so that its memory serves others. */
const watchMessage = ({ messageTimeoutMs, request }: AdmittedCall): NodeJS.Timeout =>
  setTimeout(() => {
    // A process that stood still runs its timers before it reads.
    runAfterReads(() => {
      if (!request.readableEnded) refuseCall(request);
    });
  }, messageTimeoutMs);

const readMessage = async (call: AdmittedCall): Promise<MessageResult | null> => {
  const { framing, handler, memory, request } = call;
  const timer = watchMessage(call);
  try {
    return await readCallMessage(request, framing, handler.method.input, memory);
  } catch {
    // The caller or its connection has gone, and nothing can be answered.
    return null;
  } finally {
    clearTimeout(timer);
  }
};

async function* streamBody(result: Exclude<MessageResult, { readonly kind: 'no-room' }>) {
  if (result.kind === 'invalid') throw result.error;
  yield result.bytes;
}

const performCall = async (
  { handler, response }: AdmittedCall,
  request: UniversalServerRequest,
): Promise<void> => {
  try {
    await universalResponseToNodeResponse(await handler(request), response);
  } catch {
    // The library throws when the caller has gone; failures of a service are in its response.
    response.stream.close(constants.NGHTTP2_INTERNAL_ERROR);
  }
};

const runCall = async (call: AdmittedCall): Promise<void> => {
  const { request, response } = call;
  // A call that is reset at once costs no more than its stream.
  await waitForTurn();
  if (request.stream.closed) return;
  const result = await readMessage(call);
  if (result === null || request.stream.closed) return;
  const universal = universalRequestFromNodeRequest(request, response, undefined, undefined);
  switch (result.kind) {
    case 'no-room':
      refuseCall(request);
      return;
    case 'invalid':
    case 'whole':
      call.beginWork(request);
      await performCall(call, { ...universal, body: streamBody(result) });
      return;
    default:
      assertNever(result);
  }
};

/**
 * Creates the handler of the calls between the daemons. A call is refused before anything is kept
 * for it unless its memory was reserved, which it holds until its stream has closed.
 *
 * @param routes - registers the services
 * @param options - memory of the calls, and the owner of their connections
 * @returns the handler of the requests of an HTTP/2 server
 */
export const createRpcHandler = (
  routes: (router: ConnectRouter) => void,
  { account, beginMessage, ...options }: RpcHandlerOptions,
): RpcHandler => {
  const router = createConnectRouter({
    grpc: false,
    grpcWeb: false,
    acceptCompression: [compressionGzip, compressionBrotli],
    readMaxBytes: MAX_MESSAGE_BYTES,
    writeMaxBytes: MAX_MESSAGE_BYTES,
  });
  routes(router);
  const handlers = new Map(router.handlers.map((handler) => [handler.requestPath, handler]));

  return (request, response) => {
    const memory = openCallMemory(account);
    if (memory.reserve(CALL_OVERHEAD_BYTES) === 'full') {
      refuseCall(request);
      return;
    }
    request.stream.once('close', memory.end);
    const handler = handlers.get(request.url);
    const framing = findFraming(request);
    if (handler === undefined) sendStatus(response, NOT_FOUND);
    else if (framing === undefined) sendStatus(response, UNSUPPORTED_MEDIA_TYPE);
    else {
      beginMessage(request);
      void runCall({ ...options, request, response, handler, framing, memory });
    }
  };
};
