import { Agent } from 'undici';
import type { Dispatcher } from 'undici';
import { createEventCounter } from './eventCounter.js';
import type { CallerId, CallersEvent, StreamEnd } from '../types.js';
import type { Millis } from '../../core/clock.js';

/** Servers and contents of the requests of a run. */
export interface StreamTarget {
  /** Callers are distributed round-robin over the origins. */
  readonly origins: readonly string[];
  readonly headers: Readonly<Record<string, string>>;
  readonly buildBody: (caller: CallerId) => string;
}

/** Client that sends the requests of the callers. */
export interface StreamClient {
  readonly open: (caller: CallerId) => void;
  /** Aborts the streams that are still open. */
  readonly close: () => Promise<void>;
}

const COMPLETIONS_PATH = '/v1/chat/completions';

const MAX_ERROR_TEXT_CHARACTERS = 300;

/**
 * Builds the handler of one answer. It reads the clock before anything else and decodes no event,
 * so that its own work adds nothing to the measured times.
 */
const buildHandler = (
  caller: CallerId,
  now: () => Millis,
  post: (event: CallersEvent) => void,
): Dispatcher.DispatchHandler => {
  const counter = createEventCounter();
  let status = 0;
  let errorText = '';
  const postEnd = (result: StreamEnd): void => {
    post({ kind: 'stream-ended', caller, end: result });
  };
  return {
    onRequestStart: () => undefined,
    onResponseStart: (_controller, statusCode) => {
      status = statusCode;
    },
    onResponseData: (_controller, bytes) => {
      const at = now();
      if (status !== 200) {
        errorText = `${errorText}${bytes.toString('utf8')}`.slice(0, MAX_ERROR_TEXT_CHARACTERS);
        return;
      }
      const count = counter.count(bytes);
      if (count > 0) post({ kind: 'events-arrived', caller, count, at });
    },
    onResponseEnd: () => {
      if (status !== 200)
        postEnd({ kind: 'failed', reason: `status ${status.toString()}: ${errorText}` });
      else if (counter.hasEndMarker()) postEnd({ kind: 'whole' });
      else postEnd({ kind: 'failed', reason: 'the stream ended without its end marker' });
    },
    onResponseError: (_controller, error) => {
      postEnd({ kind: 'failed', reason: error.message });
    },
  };
};

/**
 * Creates the adapter that sends the requests of the callers, each on a connection of its own.
 *
 * @param target - origins, headers and bodies of the requests
 * @param now - clock of the run
 * @param post - receives the arrivals and the ends of the streams
 * @returns the adapter
 */
export const createStreamClient = (
  target: StreamTarget,
  now: () => Millis,
  post: (event: CallersEvent) => void,
): StreamClient => {
  const agent = new Agent({ pipelining: 1, headersTimeout: 0, bodyTimeout: 0 });
  const { origins, headers, buildBody } = target;
  return {
    open: (caller) => {
      agent.dispatch(
        {
          origin: origins[caller % origins.length] ?? '',
          path: COMPLETIONS_PATH,
          method: 'POST',
          headers: { 'content-type': 'application/json', ...headers },
          body: buildBody(caller),
        },
        buildHandler(caller, now, post),
      );
    },
    close: () => agent.destroy(),
  };
};
