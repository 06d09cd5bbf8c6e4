import {
  buildEvents,
  createRequestsHarness,
  getOrder,
  SIGNED_HEAD,
  toEvent,
  toSource,
} from './requests.fixture.js';
import type { RequestsHarness } from './requests.fixture.js';
import type { AttemptOrder, GatewayEffect } from '../effects.js';
import type { AttemptFailure } from '../events.js';
import type { AnswerHead, TransferResult } from '../types.js';

/** Silence after which a stream is continued at another endpoint. */
export const LONG_SILENCE_MS = 3_700;

/** Silence after which the callers of the harness leave their streams. */
export const CALLER_PATIENCE_MS = 7_200;

/** Time for which two endpoints may work on the same generation. */
export const MAX_OVERLAP_MS = 400;

/** Time after the newest answer of an engine after which nobody reaches it; longer than that. */
export const UNREACHED_MS = 800;

/** Time by which a timer of a busy daemon is late. */
export const LATE_TIMER_MS = 150;

/** A memo may not run twice and has a backup; a summary may run again after its last event. */
export const PATHS = ['/memo/1', '/summary/1'] as const;

/** Head of an answer that refuses a request as not run. */
export const REFUSED: AnswerHead = {
  ...SIGNED_HEAD,
  status: 503,
  signature: 'unsigned',
  proof: 'not-run',
};

/** Reset of an open connection, after which its engine may work on. */
export const RESET: AttemptFailure = { kind: 'broken', message: 'reset' };

/** Result of an engine that has stopped a run and handed over its memory. */
export const COPIED = {
  kind: 'copied',
  handle: 'h-1',
  events: 9,
} as const satisfies TransferResult;

/** Result of an engine that does not run the request now, and may still have it waiting. */
export const NOT_RUNNING: TransferResult = { kind: 'not-running' };

/** Result of an engine that nobody reaches. */
export const UNREACHABLE: TransferResult = { kind: 'unreachable', message: 'timed out' };

/** Result that proves the end of a run: nothing listens at the address of the engine. */
export const GONE: TransferResult = { kind: 'refused', message: 'ECONNREFUSED' };

/**
 * Creates a harness in which an order to stop a run waits for the answer that a test posts.
 *
 * @returns the harness
 */
export const createStopsHarness = (): RequestsHarness => {
  const harness = createRequestsHarness();
  harness.setStopResult('pending');
  return harness;
};

/**
 * Reports that the connection of an attempt is established.
 *
 * @param harness - harness that opened the attempt
 * @param order - order that opened the attempt
 * @returns the effects
 */
export const connectAttempt = (harness: RequestsHarness, order: AttemptOrder) =>
  harness.post({ ...toEvent(order), kind: 'attempt-connected' });

/**
 * Connects an attempt and starts its answer.
 *
 * @param harness - harness that opened the attempt
 * @param order - order that opened the attempt
 * @param head - head of the answer
 * @returns the effects of the head
 */
export const startAnswer = (
  harness: RequestsHarness,
  order: AttemptOrder,
  head: AnswerHead = SIGNED_HEAD,
): readonly GatewayEffect[] => {
  connectAttempt(harness, order);
  return harness.post({ ...toEvent(order), kind: 'answer-started', head });
};

/**
 * Sends stream events with consecutive ids as one piece of an answer.
 *
 * @param harness - harness that opened the attempt
 * @param order - order that opened the attempt
 * @param from - id of the first event
 * @param to - id of the last event
 * @returns the effects
 */
export const sendEvents = (
  harness: RequestsHarness,
  order: AttemptOrder,
  from: number,
  to: number,
) => harness.post({ ...toEvent(order), kind: 'answer-continued', bytes: buildEvents(from, to) });

/**
 * Starts the stream of an attempt, of which the caller gets the events 1 to 3.
 *
 * @param harness - harness that opened the attempt
 * @param order - order that opened the attempt
 * @param head - head of the answer
 */
export const startEvents = (
  harness: RequestsHarness,
  order: AttemptOrder,
  head: AnswerHead = SIGNED_HEAD,
): void => {
  startAnswer(harness, order, head);
  sendEvents(harness, order, 1, 3);
};

/**
 * Sends a request and starts its stream, of which the caller gets the events 1 to 3.
 *
 * @param harness - harness that gets the request
 * @param path - path of the request
 * @returns the order that opened the attempt; throws when none was opened
 */
export const startStream = (harness: RequestsHarness, path: string): AttemptOrder => {
  const order = getOrder(harness.sendRequest(path));
  startEvents(harness, order);
  return order;
};

/**
 * Resets the connection of an attempt.
 *
 * @param harness - harness that opened the attempt
 * @param order - order that opened the attempt
 * @returns the effects
 */
export const resetConnection = (harness: RequestsHarness, order: AttemptOrder) =>
  harness.post({ ...toEvent(order), kind: 'attempt-failed', failure: RESET });

/**
 * Finds the orders to stop a run that was given up.
 *
 * @param effects - effects of a decision
 * @returns the effects that send the orders
 */
export const findStops = (effects: readonly GatewayEffect[]) =>
  effects.flatMap((effect) => (effect.kind === 'stop-run' ? [effect] : []));

/**
 * Answers the order to stop the run of an attempt.
 *
 * @param harness - harness that gave the order
 * @param order - order that opened the attempt
 * @param result - answer of the engine
 * @returns the effects
 */
export const replyToStop = (
  harness: RequestsHarness,
  order: AttemptOrder,
  result: TransferResult,
) =>
  harness.post({ ...toEvent(order), kind: 'run-stop-answered', source: toSource(order), result });

/**
 * Ends a step of the transfer of an attempt.
 *
 * @param harness - harness that started the transfer
 * @param order - order that opened the attempt
 * @param result - answer of the source
 * @returns the effects
 */
export const endStep = (harness: RequestsHarness, order: AttemptOrder, result: TransferResult) =>
  harness.post({ ...toEvent(order), kind: 'transfer-ended', source: toSource(order), result });

/**
 * Lets a stream be silent until another engine continues it, since nobody reaches its own.
 *
 * @param harness - harness of `createStopsHarness`
 * @param order - order that opened the silent attempt
 * @returns the order that opened the continuation; throws when none was opened
 */
export const continueSilent = (harness: RequestsHarness, order: AttemptOrder): AttemptOrder => {
  harness.wait(LONG_SILENCE_MS);
  return getOrder(replyToStop(harness, order, UNREACHABLE));
};
