import { request } from 'undici';
import { sendCall } from './callers/callClient.js';
import { openStream } from './callers/streamClient.js';
import type { CallerAnswer, CallerTarget, ChatOptions, StreamAnswer } from './callers/types.js';
import type { Cluster } from './types.js';
import type { EventName } from '../core/events/catalogue.js';
import type { LoggedEvent } from '../core/events/types.js';

/** Handle of a stream that was not refused. */
export type OpenedStream = Extract<StreamAnswer, { readonly kind: 'stream' }>;

/** Interval at which tests poll a page until it changes. */
const POLL_INTERVAL_MS = 20;

/**
 * Builds the target of a test's requests.
 *
 * @param cluster - running system
 * @param baseUrl - address of an entry daemon; defaults to the load balancer
 * @returns the address, and the key of the first customer
 */
export const buildCallerTarget = (cluster: Cluster, baseUrl?: string): CallerTarget => ({
  baseUrl: baseUrl ?? cluster.baseUrl,
  key: Object.values(cluster.customerKeys)[0] ?? '',
});

/**
 * Opens a stream that must not be refused.
 *
 * @param target - address and key
 * @param options - content of the request
 * @returns handle of the stream
 * @throws Error when the request is refused
 */
export const openTestStream = async (
  target: CallerTarget,
  options: ChatOptions,
): Promise<OpenedStream> => {
  const answer = await openStream(target, options);
  if (answer.kind === 'stream') return answer;
  throw new Error(`the stream was refused: ${JSON.stringify(answer.problem)}`);
};

/**
 * Checks that chunks are the tokens of one generation of the engine stand-in, each once, in order.
 * Token 0 of a generation is its id, which begins with `g`; token n is `w` and its number.
 *
 * @param texts - chunks in order of arrival
 * @param firstNumber - number of the first token
 * @returns null, or a description of the first wrong token
 */
export const checkTokens = (texts: readonly string[], firstNumber = 0): string | null => {
  const words = texts.join('').trim().split(' ');
  const wrongIndex = words.findIndex((word, index) =>
    index + firstNumber === 0
      ? !/^g\w+$/.test(word)
      : word !== `w${(index + firstNumber).toString()}`,
  );
  if (wrongIndex < 0) return null;
  return `token ${(wrongIndex + firstNumber).toString()} is ${words[wrongIndex] ?? ''} after ${words.slice(0, wrongIndex).slice(-3).join(' ')}`;
};

/**
 * Polls until a value is available. The only timeout is that of the test.
 *
 * @param poll - polls once; undefined means that the value is not available yet
 * @returns the first value other than undefined
 */
export const waitUntil = async <Value>(poll: () => Promise<Value | undefined>): Promise<Value> => {
  for (;;) {
    const value = await poll();
    if (value !== undefined) return value;
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
};

const fetchJson = async (url: string): Promise<unknown> => {
  const answer = await request(url);
  return answer.body.json();
};

/**
 * Waits until a daemon has logged an event.
 *
 * @param url - address of the daemon's pages
 * @param name - name of the event
 * @param isMatch - further condition on the event
 * @returns the event
 */
export const waitForLogEvent = (
  url: string,
  name: EventName,
  isMatch: (event: LoggedEvent) => boolean = () => true,
): Promise<LoggedEvent> =>
  waitUntil(async () => {
    const page = (await fetchJson(`${url}/debug/events`)) as { events: readonly LoggedEvent[] };
    return page.events.find((event) => event.name === name && isMatch(event));
  });

/** Counters of a stand-in's inspection page. */
export type Stats = Readonly<Record<string, number>>;

/**
 * Fetches the counters of a stand-in.
 *
 * @param url - address of the stand-in, or of the inspection pages of a ledger
 * @returns the counters
 */
export const fetchStats = async (url: string): Promise<Stats> =>
  (await fetchJson(`${url}/standin/stats`)) as Stats;

/**
 * Returns the address of the first ledger's inspection pages.
 *
 * @param cluster - running system
 * @returns the address, or an empty string without a ledger
 */
export const getInspectionUrl = (cluster: Cluster): string =>
  Object.values(cluster.standinUrls.ledgers)[0]?.inspection ?? '';

/**
 * Sends a sweep instruction to the ledger service.
 *
 * @param target - address and key
 * @param idempotencyKey - idempotency key of the instruction
 * @returns the answer
 */
export const sendSweep = (target: CallerTarget, idempotencyKey: string): Promise<CallerAnswer> =>
  sendCall(target, {
    method: 'POST',
    path: '/services/ledger/sweeps',
    idempotencyKey,
    body: { amount: 5 },
  });

/**
 * Fetches a balance from the ledger service, a call that may be retried.
 *
 * @param target - address and key
 * @returns the answer
 */
export const fetchBalance = (target: CallerTarget): Promise<CallerAnswer> =>
  sendCall(target, { method: 'GET', path: '/services/ledger/balances/caroni' });
