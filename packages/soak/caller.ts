import { Agent, request as openRequest } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { createParser } from 'eventsource-parser';
import { isReset } from './linkProxy.js';
import type { LinkAddress } from './linkProxy.js';
import type { SoakPlatform, WireCall } from './soakPlatform.js';
import type { AnswerHead, CallOutcome } from './types.js';
import type { Clock, Millis } from '../core/clock.js';

/** How a request ended. */
export interface CallResult {
  /** Null when no head of an answer arrived. */
  readonly head: AnswerHead | null;
  readonly outcome: CallOutcome;
}

/** A caller with one keep-alive connection. */
export interface Caller {
  readonly call: (
    target: LinkAddress,
    wireCall: WireCall,
    body: string,
    timeoutMs: Millis,
  ) => Promise<CallResult>;
  /** Reports whether an idle connection to the target is open. */
  readonly isConnected: (target: LinkAddress) => boolean;
  readonly close: () => void;
}

interface AnswerBody {
  readonly text: string;
  readonly isComplete: boolean;
}

const readAnswer = (
  answer: IncomingMessage,
  onChunk: (text: string) => void,
): Promise<AnswerBody> =>
  new Promise((resolve) => {
    let text = '';
    answer.setEncoding('utf8');
    answer.on('data', (chunk: string) => {
      text += chunk;
      onChunk(chunk);
    });
    // `complete` already shows whether the answer was truncated, so the error adds nothing.
    answer.on('error', () => undefined);
    answer.on('close', () => {
      resolve({ text, isComplete: answer.complete });
    });
  });

/**
 * Creates a caller that reuses its connection until the gateway closes it.
 *
 * @param platform - reads the worker's signature from the headers of an answer
 * @param clock - clock of the soak
 * @returns the caller
 */
export const createCaller = (platform: SoakPlatform, clock: Clock): Caller => {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });

  const call: Caller['call'] = (target, wireCall, body, timeoutMs) =>
    new Promise((resolve) => {
      const eventIds: number[] = [];
      let head: AnswerHead | null = null;
      let connectionState: 'connecting' | 'connected' = 'connecting';
      let isTimedOut = false;
      let ending: 'open' | 'ended' | 'reset' = 'open';
      const parser = createParser({
        onEvent: ({ id }) => {
          if (id !== undefined) eventIds.push(Number(id));
        },
      });
      const outgoing = openRequest({ ...target, ...wireCall, agent });
      const timer = setTimeout(() => {
        isTimedOut = true;
        outgoing.destroy();
      }, timeoutMs);
      const settle = (result: CallOutcome): void => {
        clearTimeout(timer);
        resolve({ head, outcome: isTimedOut ? { kind: 'timed-out' } : result });
      };
      outgoing.on('socket', (socket) => {
        const recordEnd = (): void => {
          ending = isReset(socket) ? 'reset' : 'ended';
        };
        socket.prependListener('end', recordEnd);
        outgoing.once('close', () => socket.off('end', recordEnd));
        if (!socket.connecting) connectionState = 'connected';
        else
          socket.once('connect', () => {
            connectionState = 'connected';
          });
      });
      outgoing.on('error', () => {
        settle(connectionState === 'connecting' ? { kind: 'not-sent' } : { kind: 'cut', eventIds });
      });
      outgoing.on('response', (answer) => {
        const status = answer.statusCode ?? 0;
        const { headers } = answer;
        const signature = platform.readSignature(headers);
        head = { at: clock.now(), status, signature };
        const isFramed = 'content-length' in headers || 'transfer-encoding' in headers;
        void readAnswer(answer, (chunk) => {
          parser.feed(chunk);
        }).then(({ isComplete, text }) => {
          settle(
            isComplete && (isFramed || ending !== 'reset')
              ? { kind: 'answered', status, signature, body: text, eventIds }
              : { kind: 'cut', eventIds },
          );
        });
      });
      outgoing.end(body);
    });

  return {
    call,
    isConnected: ({ host, port }) =>
      Object.keys(agent.freeSockets).some((name) => name.startsWith(`${host}:${port.toString()}:`)),
    close: () => {
      agent.destroy();
    },
  };
};
