import { request } from 'undici';
import { sendCall } from './callers/callClient.js';
import { openStream } from './callers/streamClient.js';
import type { CallerAnswer, CallerTarget, ChatOptions, StreamAnswer } from './callers/types.js';
import type { Cluster } from './types.js';
import type { EventName } from '../core/events/catalogue.js';
import type { LoggedEvent } from '../core/events/types.js';

/** Stream that was not refused. */
export type OpenedStream = Extract<StreamAnswer, { readonly kind: 'stream' }>;

/** Pause between two looks at a page whose change a test waits for. */
const POLL_INTERVAL_MS = 20;

/**
 * Builds the target of a test's caller.
 *
 * @param cluster - running system
 * @param baseUrl - address of one entry daemon; the balancer when not given
 * @returns address and key of the first customer
 */
export const buildCallerTarget = (cluster: Cluster, baseUrl?: string): CallerTarget => ({
  baseUrl: baseUrl ?? cluster.baseUrl,
  key: Object.values(cluster.customerKeys)[0] ?? '',
});

/**
 * Opens a stream that must not be refused.
 *
 * @param target - address and key
 * @param options - prompt and length
 * @returns the stream
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
 *
 * @param texts - chunks in order of arrival
 * @param firstNumber - number of the first token
 * @returns null, or the first wrong token
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
 * Waits for a condition of a page by looking at it again and again. The test's timeout bounds it.
 *
 * @param poll - looks once; undefined means not yet
 * @returns what the look found
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
 * Waits for an event in the log of a daemon.
 *
 * @param url - address of its pages
 * @param name - event
 * @param isMatch - further condition
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
 * Reads the counters of a stand-in.
 *
 * @param url - address of the stand-in, or of the inspection pages of a ledger
 * @returns the counters
 */
export const fetchStats = async (url: string): Promise<Stats> =>
  (await fetchJson(`${url}/standin/stats`)) as Stats;

/**
 * Gets the inspection address of the first ledger.
 *
 * @param cluster - running system
 * @returns the address
 */
export const getInspectionUrl = (cluster: Cluster): string =>
  Object.values(cluster.standinUrls.ledgers)[0]?.inspection ?? '';

/**
 * Sends a sweep instruction.
 *
 * @param target - address and key
 * @param idempotencyKey - key of the instruction
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
 * Looks up a balance.
 *
 * @param target - address and key
 * @returns the answer
 */
export const fetchBalance = (target: CallerTarget): Promise<CallerAnswer> =>
  sendCall(target, { method: 'GET', path: '/services/ledger/balances/caroni' });
