import { create } from '@bufbuild/protobuf';
import { Code, ConnectError, createClient } from '@connectrpc/connect';
import type { Client } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import type { Http2SessionManager } from '@connectrpc/connect-node';
import { Ok, Result } from 'ts-results-es';
import { LINK_OPEN_TIMEOUT_MS } from './constants.js';
import type {
  EndpointClient,
  EndpointCompletion,
  FenceAnswer,
  FenceCommand,
  LinkKey,
  OpenCall,
  OpenGeneration,
} from './endpointMessages.js';
import { checkSent, getErrorMessage, isRefused } from './transportErrors.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import type { GenerationId, Incarnation } from '../../core/ids.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';
import { createPeerSession } from '../../wire/rpcListener.js';
import { MAX_MESSAGE_BYTES, MESSAGE_FORMAT } from '../../wire/constants.js';
import { decodeCallFailure } from '../../wire/failureCodec.js';
import { checkBodySize } from '../../wire/messageSize.js';
import {
  CallRequestSchema,
  CancelRequestSchema,
  EndpointService,
  FenceRequestSchema,
  GenerateRequestSchema,
} from '../../wire/gen/chestnutspan/v1/chestnutspan_pb.js';
import type {
  CallAnswer,
  CallResponse,
  GenerateEvent,
} from '../../wire/gen/chestnutspan/v1/chestnutspan_pb.js';
import type { ServiceAnswer } from '../types.js';

type EndpointRpc = Client<typeof EndpointService>;

interface Connection {
  readonly client: EndpointRpc;
  readonly manager: Http2SessionManager;
}

const decodeAnswer = (answer: CallAnswer): ServiceAnswer => ({
  status: answer.status,
  headers: answer.headers.map(({ name, value }) => ({ name, value })),
  body: answer.body,
});

const getLinkId = (generationId: GenerationId, link: number): string =>
  `${generationId}/${link.toString()}`;

/**
 * Creates the adapter that calls endpoint daemons. Each completion is posted as an event.
 *
 * @param entry - name of this process, sent to endpoint daemons with each call
 * @param now - clock of the permits' deadlines
 * @param post - receives the completions
 * @returns the adapter
 */
export const createEndpointClient = (
  entry: string,
  now: () => Millis,
  post: (completion: EndpointCompletion) => void,
): EndpointClient => {
  const connections = new Map<string, Connection>();
  const links = new Map<string, AbortController>();

  const createConnection = (url: string): EndpointRpc => {
    const manager = createPeerSession(url);
    const transport = createConnectTransport({
      baseUrl: url,
      httpVersion: '2',
      sessionManager: manager,
      readMaxBytes: MAX_MESSAGE_BYTES,
    });
    const client = createClient(EndpointService, transport);
    connections.set(url, { client, manager });
    return client;
  };

  /** The URL comes from a heartbeat, so it may be none; an error proves that nothing was sent. */
  const connect = (url: string): Result<EndpointRpc, string> => {
    const existing = connections.get(url);
    if (existing !== undefined) return Ok(existing.client);
    return Result.wrap(() => createConnection(url)).mapErr(getErrorMessage);
  };

  /**
   * Removes a connection whose call failed, so that the next call creates a new session manager.
   * The streams of a failing HTTP/2 session fail before the session emits its own error. A call
   * that reopened the same manager before that would remove the error listener from the failing
   * session, and the unhandled error would end this process.
   */
  const releaseConnection = (url: string, client: EndpointRpc, error: unknown): void => {
    // A timeout or a refusal of a call says nothing about the state of its connection.
    if (ConnectError.from(error).code === Code.DeadlineExceeded || isRefused(error)) return;
    if (connections.get(url)?.client === client) connections.delete(url);
  };

  const postEvent = (key: LinkKey, { event }: GenerateEvent): 'open' | 'ended' => {
    switch (event.case) {
      case 'started':
        post({ kind: 'link-opened', ...key });
        return 'open';
      case 'chunks': {
        const { firstNumber, choices } = event.value;
        post({ kind: 'chunks-received', ...key, firstNumber, choices });
        return 'open';
      }
      case 'finished': {
        const { chunkCount, usage, digest } = event.value;
        post({ kind: 'generation-finished', ...key, chunkCount, usage, digest });
        return 'ended';
      }
      case 'failed':
        post({ kind: 'generation-failed', ...key, failure: decodeCallFailure(event.value) });
        return 'ended';
      case undefined:
        return 'open';
      default:
        return assertNever(event);
    }
  };

  const readGeneration = async (open: OpenGeneration): Promise<void> => {
    const { requestId, generationId, link } = open;
    const key: LinkKey = { requestId, generationId, link };
    const tooLarge = checkBodySize(open.body, 'body', 'not-run');
    if (tooLarge !== null) {
      post({ kind: 'generation-failed', ...key, failure: tooLarge });
      return;
    }
    const connected = connect(open.url);
    if (connected.isErr()) {
      post({ kind: 'link-lost', ...key, sent: 'unsent', reason: connected.error });
      return;
    }
    const client = connected.value;
    const controller = new AbortController();
    const linkId = getLinkId(generationId, link);
    links.set(linkId, controller);
    const openTimer = setTimeout(() => {
      controller.abort(new Error('the endpoint daemon did not answer'));
    }, LINK_OPEN_TIMEOUT_MS);
    try {
      const message = create(GenerateRequestSchema, {
        format: MESSAGE_FORMAT,
        generationId,
        requestId,
        customer: open.customer,
        className: open.className,
        route: open.route,
        incarnation: open.incarnation,
        resumeFrom: open.fromNumber,
        mode: open.mode,
        importance: open.importance,
        deadlineMs: Math.max(0, open.permit.deadlineAt - now()),
        fingerprint: open.fingerprint,
        promptTokens: open.promptTokens,
        body: open.body,
        entry,
        stream: requestId,
        link,
        nonce: open.nonce ?? '',
      });
      const events = client.generate(message, { signal: controller.signal });
      for await (const event of events) {
        clearTimeout(openTimer);
        if (postEvent(key, event) === 'ended') return;
      }
      post({
        kind: 'link-lost',
        ...key,
        sent: 'sent',
        reason: 'the stream closed before the generation finished or failed',
      });
    } catch (error) {
      if (!links.has(linkId)) return;
      releaseConnection(open.url, client, error);
      const reason = getErrorMessage(error);
      post({ kind: 'link-lost', ...key, sent: checkSent(error), reason });
    } finally {
      clearTimeout(openTimer);
      links.delete(linkId);
    }
  };

  const toCallCompletion = (call: OpenCall, response: CallResponse): EndpointCompletion => {
    const { requestId } = call;
    const { attempt } = call.permit;
    const { result } = response;
    switch (result.case) {
      case 'answer':
        return { kind: 'call-answered', requestId, attempt, answer: decodeAnswer(result.value) };
      case 'failure':
        return {
          kind: 'call-failed',
          requestId,
          attempt,
          failure: decodeCallFailure(result.value),
        };
      case undefined: {
        const failure = createFailure(
          'may-have-run',
          'internal',
          'the endpoint daemon sent an empty response',
        );
        return { kind: 'call-failed', requestId, attempt, failure };
      }
      default:
        return assertNever(result);
    }
  };

  const toTransportFailure = (error: unknown): Failure => {
    const reason = getErrorMessage(error);
    if (checkSent(error) === 'unsent') return createFailure('not-run', 'endpoint-lost', reason);
    const isTimeout = ConnectError.from(error).code === Code.DeadlineExceeded;
    return createFailure(
      'may-have-run',
      // A timeout has a separate code, since the code of a failed endpoint would make the requests
      // that the endpoint ran suspects.
      isTimeout ? 'deadline-exceeded' : 'endpoint-failed',
      `no answer from the endpoint daemon: ${reason}`,
    );
  };

  const sendCall = async (call: OpenCall): Promise<void> => {
    const { requestId } = call;
    const { attempt, deadlineAt } = call.permit;
    const tooLarge = checkBodySize(call.body, 'body', 'not-run');
    if (tooLarge !== null) {
      post({ kind: 'call-failed', requestId, attempt, failure: tooLarge });
      return;
    }
    const connected = connect(call.url);
    if (connected.isErr()) {
      const failure = createFailure('not-run', 'endpoint-lost', connected.error);
      post({ kind: 'call-failed', requestId, attempt, failure });
      return;
    }
    const client = connected.value;
    // Taken here and not when the attempt was decided, since the process may have stood still.
    const deadlineMs = deadlineAt - now();
    if (deadlineMs <= 0) {
      const failure = createFailure('not-run', 'deadline-exceeded', 'the deadline has passed');
      post({ kind: 'call-failed', requestId, attempt, failure });
      return;
    }
    try {
      const message = create(CallRequestSchema, {
        format: MESSAGE_FORMAT,
        requestId,
        customer: call.customer,
        className: call.className,
        importance: call.importance,
        service: call.service,
        method: call.method,
        path: call.path,
        headers: call.headers.map(({ name, value }) => ({ name, value })),
        body: call.body,
        incarnation: call.incarnation,
        nonce: call.nonce ?? '',
        idempotencyKey: call.key ?? '',
        deadlineMs,
        fingerprint: call.fingerprint,
        entry,
      });
      const timeoutMs = Math.ceil(deadlineMs);
      post(toCallCompletion(call, await client.call(message, { timeoutMs })));
    } catch (error) {
      releaseConnection(call.url, client, error);
      post({ kind: 'call-failed', requestId, attempt, failure: toTransportFailure(error) });
    }
  };

  const toFenceAnswer = (result: string, answer: CallAnswer | undefined): FenceAnswer => {
    switch (result) {
      case 'fenced':
      case 'started':
      case 'unknown-incarnation':
        return { kind: result };
      case 'finished':
        return { kind: 'finished', answer: answer === undefined ? null : decodeAnswer(answer) };
      default:
        return { kind: 'unreachable', reason: `unknown fence result ${result}` };
    }
  };

  const sendFence = async (command: FenceCommand): Promise<void> => {
    const { requestId, nonce, incarnation } = command;
    const connected = connect(command.url);
    if (connected.isErr()) {
      const result: FenceAnswer = { kind: 'unreachable', reason: connected.error };
      post({ kind: 'fence-answered', requestId, nonce, result });
      return;
    }
    const client = connected.value;
    try {
      const message = create(FenceRequestSchema, { format: MESSAGE_FORMAT, nonce, incarnation });
      const timeoutMs = LINK_OPEN_TIMEOUT_MS;
      const response = await client.fence(message, { timeoutMs });
      const result = toFenceAnswer(response.result, response.answer);
      post({ kind: 'fence-answered', requestId, nonce, result });
    } catch (error) {
      releaseConnection(command.url, client, error);
      const result: FenceAnswer = { kind: 'unreachable', reason: getErrorMessage(error) };
      post({ kind: 'fence-answered', requestId, nonce, result });
    }
  };

  const sendCancel = async (
    url: string,
    generationId: GenerationId,
    incarnation: Incarnation,
  ): Promise<void> => {
    const message = create(CancelRequestSchema, {
      format: MESSAGE_FORMAT,
      generationId,
      incarnation,
    });
    // If the cancel is lost, the orphan timeout of the endpoint daemon ends the generation.
    const connected = connect(url);
    if (connected.isErr()) return;
    const client = connected.value;
    await client.cancel(message, { timeoutMs: LINK_OPEN_TIMEOUT_MS }).catch((error: unknown) => {
      releaseConnection(url, client, error);
    });
  };

  return {
    openGeneration: (open) => void readGeneration(open),
    closeLink: (generationId, link) => {
      const linkId = getLinkId(generationId, link);
      const controller = links.get(linkId);
      links.delete(linkId);
      controller?.abort();
    },
    cancelGeneration: (url, generationId, incarnation) =>
      void sendCancel(url, generationId, incarnation),
    callEndpoint: (call) => void sendCall(call),
    fenceNonce: (command) => void sendFence(command),
    close: () => {
      for (const controller of links.values()) controller.abort();
      links.clear();
      for (const { manager } of connections.values()) manager.abort();
      connections.clear();
    },
  };
};
