import { Agent, request as openRequest } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { createParser } from 'eventsource-parser';
import type { LinkAddress } from './linkProxy.js';
import type { SoakPlatform, WireCall } from './soakPlatform.js';
import type { CallEnd } from './types.js';
import type { Millis } from '../core/clock.js';

/** One caller with the connection that it keeps. */
export interface Caller {
  readonly call: (
    to: LinkAddress,
    wire: WireCall,
    body: string,
    patienceMs: Millis,
  ) => Promise<CallEnd>;
  readonly close: () => void;
}

interface AnswerText {
  readonly text: string;
  readonly isWhole: boolean;
}

const readText = (answer: IncomingMessage, onText: (text: string) => void): Promise<AnswerText> =>
  new Promise((resolve) => {
    let text = '';
    answer.setEncoding('utf8');
    answer.on('data', (part: string) => {
      text += part;
      onText(part);
    });
    // `complete` tells whether the answer was cut; the error says nothing beyond that.
    answer.on('error', () => undefined);
    answer.on('close', () => {
      resolve({ text, isWhole: answer.complete });
    });
  });

/**
 * Creates a caller that uses its open connection until the other side closes it.
 *
 * @param platform - reads the worker's mark
 * @returns the caller
 */
export const createCaller = (platform: SoakPlatform): Caller => {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });

  const call: Caller['call'] = (to, wire, body, patienceMs) =>
    new Promise((resolve) => {
      const eventIds: number[] = [];
      let reached: 'nothing' | 'connection' = 'nothing';
      let isGivenUp = false;
      const parser = createParser({
        onEvent: ({ id }) => {
          if (id !== undefined) eventIds.push(Number(id));
        },
      });
      const outgoing = openRequest({ ...to, ...wire, agent });
      const patience = setTimeout(() => {
        isGivenUp = true;
        outgoing.destroy();
      }, patienceMs);
      const end = (result: CallEnd): void => {
        clearTimeout(patience);
        resolve(isGivenUp ? { kind: 'given-up' } : result);
      };
      outgoing.on('socket', (socket) => {
        if (!socket.connecting) reached = 'connection';
        else
          socket.once('connect', () => {
            reached = 'connection';
          });
      });
      outgoing.on('error', () => {
        end(reached === 'nothing' ? { kind: 'not-sent' } : { kind: 'cut', eventIds });
      });
      outgoing.on('response', (answer) => {
        const status = answer.statusCode ?? 0;
        const mark = platform.readMark(answer.headers);
        void readText(answer, (part) => {
          parser.feed(part);
        }).then(({ isWhole, text }) => {
          end(
            isWhole
              ? { kind: 'answered', status, mark, body: text, eventIds }
              : { kind: 'cut', eventIds },
          );
        });
      });
      outgoing.end(body);
    });

  return {
    call,
    close: () => {
      agent.destroy();
    },
  };
};
