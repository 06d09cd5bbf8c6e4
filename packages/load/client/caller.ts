import { setTimeout as waitFor } from 'node:timers/promises';
import type { Dispatcher } from 'undici';
import { performCall } from './callEntry.js';
import type { CallEnd } from './callEntry.js';
import { renderRequestId } from './identity.js';
import { renderRequest } from './requestText.js';
import type { RequestText } from './requestText.js';
import type { Arrival } from '../arrivals/types.js';
import { CALL_AGAIN_MS, MAX_CALLS } from '../constants.js';
import type { Cluster, LoadEvent, Outcome } from '../types.js';
import type { Millis } from '../../core/clock.js';

/** What all calls of a run share. */
export interface CallerOptions {
  readonly run: string;
  readonly cluster: Pick<Cluster, 'entryUrls' | 'customerKeys'>;
  readonly dispatcher: Dispatcher;
  readonly signal: AbortSignal;
  /** Time since the start of the run. */
  readonly now: () => Millis;
  /** Start of the run, since the epoch. */
  readonly startedAt: Millis;
  readonly post: (event: LoadEvent) => void;
}

const NO_TICKET = '';

const buildHeaders = (
  arrival: Arrival,
  text: RequestText,
  ticket: string,
  options: CallerOptions,
): Record<string, string> => {
  const requestId = renderRequestId(options.run, arrival.number);
  const key = options.cluster.customerKeys[arrival.customer] ?? '';
  const headers: Record<string, string> = {
    authorization: `Bearer ${key}`,
    'x-request-id': requestId,
    'x-chestnutspan-class': arrival.className,
  };
  if (text.body !== undefined) headers['content-type'] = 'application/json';
  if (ticket !== NO_TICKET) headers['last-event-id'] = ticket;
  if (arrival.work.kind === 'execution') {
    headers['idempotency-key'] = requestId;
    const issuedAt = Math.round(options.startedAt + arrival.atMs);
    headers['idempotency-key-issued-at'] = issuedAt.toString();
  }
  return headers;
};

/** Picks the entry daemon of a call, as a balancer without health checks would. */
const pickEntry = (urls: readonly string[], number: number): string =>
  urls[number % urls.length] as string;

/**
 * Sends one request and, when its connection breaks, calls the next entry daemon: with the resume
 * ticket once a token was shown, else with the same request and the same key.
 *
 * @param arrival - what to ask for
 * @param options - cluster, clock and receiver of events
 */
export const runRequest = async (arrival: Arrival, options: CallerOptions): Promise<void> => {
  const { number } = arrival;
  const { cluster, now, post } = options;
  const text = renderRequest(arrival, renderRequestId(options.run, number));
  let ticket = NO_TICKET;
  const callOnce = (calls: number): Promise<CallEnd> =>
    performCall({
      url: `${pickEntry(cluster.entryUrls, number + calls)}${text.path}`,
      method: text.method,
      headers: buildHeaders(arrival, text, ticket, options),
      body: text.body,
      signal: options.signal,
      dispatcher: options.dispatcher,
      now,
      onText: (part, at, id) => {
        ticket = id ?? ticket;
        post({ to: 'requests', kind: 'text', number, at, text: part });
      },
    });
  const settle = (outcome: Outcome): void => {
    post({ to: 'requests', kind: 'ended', number, at: now(), outcome });
  };

  post({ to: 'requests', kind: 'sent', arrival, at: now() });
  for (let calls = 0; ; calls += 1) {
    const end = await callOnce(calls);
    if (options.signal.aborted) return;
    if (end.kind !== 'broken') {
      settle(end);
      return;
    }
    if (calls + 1 === MAX_CALLS) {
      settle({ kind: 'no-answer', reason: end.reason });
      return;
    }
    const how = ticket === NO_TICKET ? 'sent-again' : 'resumed';
    post({ to: 'requests', kind: 'called-again', number, how });
    await waitFor(CALL_AGAIN_MS * calls);
  }
};
