import { setTimeout as waitFor } from 'node:timers/promises';
import type { Dispatcher } from 'undici';
import { performCall } from './callEntry.js';
import type { CallEnd } from './callEntry.js';
import { formatRequestId } from './requestId.js';
import { buildHttpRequest } from './httpRequest.js';
import type { HttpRequest } from './httpRequest.js';
import type { Arrival } from '../arrivals/types.js';
import { RETRY_BACKOFF_STEP_MS, MAX_CALLS_PER_REQUEST } from '../constants.js';
import type { TargetCluster, LoadEvent, Outcome } from '../types.js';
import type { Millis } from '../../core/clock.js';

/** Options that all calls of a run share. */
export interface CallerOptions {
  readonly run: string;
  readonly cluster: Pick<TargetCluster, 'entryUrls' | 'customerKeys'>;
  readonly dispatcher: Dispatcher;
  readonly signal: AbortSignal;
  /** Time since the start of the run. */
  readonly now: () => Millis;
  /** Start of the run, in milliseconds since the epoch. */
  readonly startedAt: Millis;
  readonly post: (event: LoadEvent) => void;
}

const NO_TICKET = '';

const buildHeaders = (
  arrival: Arrival,
  httpRequest: HttpRequest,
  ticket: string,
  options: CallerOptions,
): Record<string, string> => {
  const requestId = formatRequestId(options.run, arrival.number);
  const key = options.cluster.customerKeys[arrival.customer] ?? '';
  const headers: Record<string, string> = {
    authorization: `Bearer ${key}`,
    'x-request-id': requestId,
    'x-chestnutspan-class': arrival.className,
  };
  if (httpRequest.body !== undefined) headers['content-type'] = 'application/json';
  if (ticket !== NO_TICKET) headers['last-event-id'] = ticket;
  if (arrival.work.kind === 'execution') {
    headers['idempotency-key'] = requestId;
    const issuedAt = Math.round(options.startedAt + arrival.atMs);
    headers['idempotency-key-issued-at'] = issuedAt.toString();
  }
  return headers;
};

/** Picks the entry daemon of a call round-robin, like a load balancer without health checks. */
const pickEntry = (urls: readonly string[], number: number): string =>
  urls[number % urls.length] as string;

/**
 * Sends one request. When a call breaks, the next entry daemon is called: with the resume ticket if
 * one was received with a token, otherwise with the same request and the same idempotency key.
 *
 * @param arrival - request to send
 * @param options - cluster, clock and event receiver
 */
export const runRequest = async (arrival: Arrival, options: CallerOptions): Promise<void> => {
  const { number } = arrival;
  const { cluster, now, post } = options;
  const httpRequest = buildHttpRequest(arrival, formatRequestId(options.run, number));
  let ticket = NO_TICKET;
  const callOnce = (calls: number): Promise<CallEnd> =>
    performCall({
      url: `${pickEntry(cluster.entryUrls, number + calls)}${httpRequest.path}`,
      method: httpRequest.method,
      headers: buildHeaders(arrival, httpRequest, ticket, options),
      body: httpRequest.body,
      signal: options.signal,
      dispatcher: options.dispatcher,
      now,
      onText: (part, at, eventId) => {
        ticket = eventId ?? ticket;
        post({ to: 'requests', kind: 'text', number, at, text: part });
      },
    });
  const postEnd = (outcome: Outcome): void => {
    post({ to: 'requests', kind: 'ended', number, at: now(), outcome });
  };

  post({ to: 'requests', kind: 'sent', arrival, at: now() });
  for (let calls = 0; ; calls += 1) {
    const end = await callOnce(calls);
    if (options.signal.aborted) return;
    if (end.kind !== 'broken') {
      postEnd(end);
      return;
    }
    if (calls + 1 === MAX_CALLS_PER_REQUEST) {
      postEnd({ kind: 'no-answer', reason: end.reason });
      return;
    }
    const retryKind = ticket === NO_TICKET ? 'sent-again' : 'resumed';
    post({ to: 'requests', kind: 'retried', number, retryKind });
    await waitFor(RETRY_BACKOFF_STEP_MS * calls);
  }
};
