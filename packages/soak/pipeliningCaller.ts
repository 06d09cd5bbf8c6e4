import { Client, buildConnector } from 'undici';
import type { buildConnector as Connectors, Dispatcher } from 'undici';
import type { LinkAddress } from './linkProxy.js';
import type { SoakPlatform, WireCall } from './soakPlatform.js';
import type { AnswerHead, CallOutcome } from './types.js';
import type { Clock, Millis } from '../core/clock.js';

/** A request of a pipeline. */
export interface PipelinedCall {
  readonly wireCall: WireCall;
  readonly body: string;
}

/** How a request of a pipeline ended, and when. */
export interface PipelinedResult {
  readonly head: AnswerHead | null;
  readonly endedAt: Millis;
  readonly outcome: CallOutcome;
}

/**
 * Connects once. The client would send unanswered requests again on a second connection, and so hide
 * that the first one ended without their answers.
 */
const createOnceConnector = (onConnect: () => void): Connectors.connector => {
  const connect = buildConnector({});
  let state: 'unused' | 'used' = 'unused';
  return (options, callback) => {
    if (state === 'used') {
      callback(new Error('the connection of the pipeline has ended'), null);
      return;
    }
    state = 'used';
    connect(options, (...result) => {
      if (result[0] === null) onConnect();
      callback(...result);
    });
  };
};

/**
 * Sends requests at once on one connection of their own and closes it after the last answer.
 *
 * @param platform - reads the worker's signature from the headers of an answer
 * @param clock - clock of the soak
 * @param target - address of the gateway
 * @param calls - requests, none of which has a stream as its answer
 * @param timeoutMs - time limit of all answers
 * @returns the results in the order of the requests
 */
export const sendPipeline = async (
  platform: SoakPlatform,
  clock: Clock,
  { host, port }: LinkAddress,
  calls: readonly PipelinedCall[],
  timeoutMs: Millis,
): Promise<readonly PipelinedResult[]> => {
  let connection: 'none' | 'open' = 'none';
  const client = new Client(`http://${host}:${port.toString()}`, {
    pipelining: calls.length,
    connect: createOnceConnector(() => {
      connection = 'open';
    }),
  });
  // One limit for all: the client closes the connection when it gives up any of them.
  const signal = AbortSignal.timeout(timeoutMs);
  const readOutcome = (answer: Dispatcher.ResponseData, body: string): CallOutcome => ({
    kind: 'answered',
    status: answer.statusCode,
    signature: platform.readSignature(answer.headers),
    body,
    eventIds: [],
  });
  const send = async ({ body, wireCall }: PipelinedCall): Promise<PipelinedResult> => {
    let head: AnswerHead | null = null;
    try {
      const answer = await client.request({
        method: wireCall.method as Dispatcher.HttpMethod,
        path: wireCall.path,
        headers: wireCall.headers,
        body,
        // Permits the client to send the next request before the answer to this one.
        idempotent: true,
        blocking: false,
        signal,
      });
      const signature = platform.readSignature(answer.headers);
      head = { at: clock.now(), status: answer.statusCode, signature };
      const text = await answer.body.text();
      return { head, endedAt: clock.now(), outcome: readOutcome(answer, text) };
    } catch {
      const endedAt = clock.now();
      if (signal.aborted) return { head, endedAt, outcome: { kind: 'timed-out' } };
      const outcome: CallOutcome =
        connection === 'none' ? { kind: 'not-sent' } : { kind: 'cut', eventIds: [] };
      return { head, endedAt, outcome };
    }
  };
  const results = await Promise.all(calls.map(send));
  await client.destroy();
  return results;
};
