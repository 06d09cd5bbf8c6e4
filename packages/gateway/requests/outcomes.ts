import { removeForwarding } from './answerMemory.js';
import { RETRY_AFTER_MAX_MS, RETRY_AFTER_MIN_MS, RETRY_AFTER_SHARE } from './constants.js';
import type { Attempt, Effects, Forwarding, RequestsContext, WholeAnswer } from './types.js';
import type { Millis } from '../../core/clock.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';
import type { GatewayEffect } from '../effects.js';

const TENTHS_PER_MS = 10;

const formatMs = (duration: Millis): number => Math.round(duration * TENTHS_PER_MS) / TENTHS_PER_MS;

const computeRetryAfter = (leftMs: Millis): Millis =>
  Math.min(RETRY_AFTER_MAX_MS, Math.max(RETRY_AFTER_MIN_MS, leftMs * RETRY_AFTER_SHARE));

const describeTimes = (forwarding: Forwarding, now: Millis) => ({
  attempts: forwarding.attemptsMade,
  afterMs: formatMs(now - forwarding.request.receivedAt),
  firstMs:
    forwarding.firstEventAt === null
      ? -1
      : formatMs(forwarding.firstEventAt - forwarding.request.receivedAt),
  longestGapMs: formatMs(forwarding.longestGapMs),
  lastEventId: forwarding.lastEventId ?? '',
  version: forwarding.configurationVersion,
});

const countOutcome = (forwarding: Forwarding, outcome: string): GatewayEffect => ({
  kind: 'count',
  name: 'gateway_requests_total',
  labels: { route: forwarding.route.name, outcome },
});

/**
 * Ends a request with a failure of this daemon.
 *
 * @param forwarding - request without running attempts
 * @param failure - verdict, code and reason
 * @param context - state and inputs
 * @returns effects
 */
export const refuseRequest = (
  forwarding: Forwarding,
  failure: Failure,
  context: RequestsContext,
): Effects => {
  const now = context.inputs.clock.now();
  const { request, route } = forwarding;
  const isNotRun = failure.verdict === 'not-run';
  const retryAfterMs = computeRetryAfter(forwarding.deadlineAt - now);
  removeForwarding(forwarding, context.state);
  return [
    {
      kind: 'refuse',
      key: request.key,
      failure: isNotRun ? { retryAfterMs, ...failure } : failure,
    },
    countOutcome(forwarding, failure.code),
    {
      kind: 'log',
      name: 'request-failed',
      details: {
        requestId: request.id,
        entity: route.name,
        data: {
          code: failure.code,
          verdict: failure.verdict,
          reason: failure.message,
          ...describeTimes(forwarding, now),
        },
      },
    },
  ];
};

/**
 * Ends a request whose answer cannot be completed. A caller that has been sent nothing gets an
 * error; otherwise its connection is closed early, so that the answer does not look complete.
 *
 * @param forwarding - request without running attempts
 * @param reason - error message for the log and the caller
 * @param context - state and inputs
 * @param mayHaveRunCode - failure code when the request may have run
 * @returns effects
 */
export const failRequest = (
  forwarding: Forwarding,
  reason: string,
  context: RequestsContext,
  mayHaveRunCode: 'endpoint-lost' | 'deadline-exceeded' = 'endpoint-lost',
): Effects => {
  const { request, route, verdict, fallbackAnswer } = forwarding;
  if (forwarding.delivered === 'nothing') {
    if (fallbackAnswer !== null) return sendWholeAnswer(forwarding, fallbackAnswer, context);
    const code = verdict === 'not-run' ? 'no-endpoint' : mayHaveRunCode;
    return refuseRequest(forwarding, createFailure(verdict, code, reason), context);
  }
  const now = context.inputs.clock.now();
  removeForwarding(forwarding, context.state);
  return [
    { kind: 'break-answer', key: request.key },
    countOutcome(forwarding, 'stream-lost'),
    {
      kind: 'log',
      name: 'request-failed',
      details: {
        requestId: request.id,
        entity: route.name,
        data: { code: 'stream-lost', verdict: 'ran', reason, ...describeTimes(forwarding, now) },
      },
    },
  ];
};

const describeFinish = (
  forwarding: Forwarding,
  status: number,
  now: Millis,
): readonly GatewayEffect[] => [
  countOutcome(forwarding, `status-${status.toString()}`),
  {
    kind: 'record-latency',
    name: 'gateway_answer_ms',
    route: forwarding.route.name,
    duration: now - forwarding.request.receivedAt,
  },
  {
    kind: 'log',
    name: 'request-finished',
    details: {
      requestId: forwarding.request.id,
      entity: forwarding.route.name,
      data: { status, ...describeTimes(forwarding, now) },
    },
  },
];

/**
 * Ends a request by sending an endpoint's whole answer to the caller.
 *
 * @param forwarding - request without running attempts
 * @param answer - head and body
 * @param context - state and inputs
 * @returns effects
 */
export const sendWholeAnswer = (
  forwarding: Forwarding,
  { head, body }: WholeAnswer,
  context: RequestsContext,
): Effects => {
  removeForwarding(forwarding, context.state);
  return [
    { kind: 'send-whole', key: forwarding.request.key, head, body },
    ...describeFinish(forwarding, head.status, context.inputs.clock.now()),
  ];
};

/**
 * Ends a request whose stream has been forwarded completely.
 *
 * @param forwarding - request without running attempts
 * @param attempt - attempt whose stream ended
 * @param context - state and inputs
 * @returns effects
 */
export const finishStream = (
  forwarding: Forwarding,
  attempt: Attempt,
  context: RequestsContext,
): Effects => {
  removeForwarding(forwarding, context.state);
  return [
    { kind: 'end-answer', key: forwarding.request.key },
    ...describeFinish(forwarding, attempt.head?.status ?? 0, context.inputs.clock.now()),
  ];
};
