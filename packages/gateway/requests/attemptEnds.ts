import type { Attempt, Effects, Forwarding, RequestsContext, RequestsInputs } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { EventDetails } from '../../core/events/types.js';
import type { AttemptObservation } from '../../decisions/forwarding/endpointHealth.js';
import type { CrashProgress } from '../../decisions/quarantine/types.js';
import type { AttemptFailure } from '../events.js';

/** How an attempt ended without a usable answer. */
export type AttemptEnd =
  | AttemptFailure
  /** The endpoint crashed; `begun` after it had sent events. */
  | {
      readonly kind: 'crashed';
      readonly progress: CrashProgress | 'begun';
      readonly message: string;
    }
  /** The endpoint stated, before the request was sent, that it takes none. */
  | { readonly kind: 'withdrawn'; readonly message: string }
  /** The endpoint states that it did not run the request. */
  | { readonly kind: 'refused'; readonly message: string }
  /** The endpoint answered with an error, which the caller gets if no other attempt succeeds. */
  | { readonly kind: 'failed-answer'; readonly message: string }
  /** No event arrived within the stall timeout, and another endpoint continues the stream. */
  | { readonly kind: 'silent'; readonly message: string }
  /** The endpoint of a silent stream has confirmed that its run has ended. */
  | { readonly kind: 'stopped'; readonly message: string };

/** An attempt that was not sent shows nothing of its endpoint. */
const toObservation = (end: AttemptEnd): AttemptObservation | null => {
  switch (end.kind) {
    case 'withdrawn':
      return null;
    case 'unreachable':
    case 'crashed':
      return { kind: 'unreachable' };
    case 'refused':
      return { kind: 'full' };
    case 'broken':
    case 'garbled':
    case 'failed-answer':
    case 'silent':
    case 'stopped':
      return { kind: 'failed' };
    default:
      return assertNever(end);
  }
};

/**
 * Reports whether the endpoint cannot have run the request.
 *
 * @param end - how the attempt ended
 * @param attempt - attempt
 * @returns false when it may have run the request
 */
export const isProvablyNotRun = (end: AttemptEnd, attempt: Attempt): boolean => {
  switch (end.kind) {
    case 'unreachable':
    case 'withdrawn':
    case 'refused':
      return true;
    case 'broken':
      return attempt.phase === 'connecting';
    case 'crashed':
    case 'garbled':
    case 'failed-answer':
    case 'silent':
    case 'stopped':
      return false;
    default:
      return assertNever(end);
  }
};

/**
 * Describes the content of a request whose connection broke, so that requests that crash endpoints
 * can be found by what they have in common.
 */
const describeContent = (
  { request }: Forwarding,
  end: AttemptEnd,
  { hashContent }: RequestsInputs,
): EventDetails['data'] =>
  end.kind === 'broken' || end.kind === 'crashed'
    ? { content: hashContent(request), promptParts: request.promptParts }
    : {};

const observeEnd = ({ endpoint }: Attempt, end: AttemptEnd): Effects => {
  const observation = toObservation(end);
  if (observation === null) return [];
  const event = { to: 'membership', kind: 'attempt-observed', endpoint: endpoint.id } as const;
  return [{ kind: 'post', event: { ...event, observation } }];
};

/**
 * Describes the end of an attempt.
 *
 * @param forwarding - request
 * @param attempt - attempt that ended
 * @param end - how it ended
 * @param context - inputs
 * @returns the observation of its endpoint, a count and a log line
 */
export const describeEnd = (
  forwarding: Forwarding,
  attempt: Attempt,
  end: AttemptEnd,
  { inputs }: RequestsContext,
): Effects => [
  ...observeEnd(attempt, end),
  {
    kind: 'count',
    name: 'gateway_attempt_failures_total',
    labels: { route: forwarding.route.name, reason: end.kind },
  },
  {
    kind: 'log',
    name: 'attempt-ended',
    details: {
      requestId: forwarding.request.id,
      endpoint: attempt.endpoint.id,
      entity: forwarding.route.name,
      data: {
        attempt: attempt.number,
        purpose: attempt.permit.purpose,
        reason: end.kind,
        message: end.message,
        phase: attempt.phase,
        afterMs: Math.round(inputs.clock.now() - attempt.startedAt),
        lastEventId: forwarding.lastEventId ?? '',
        events: attempt.events,
        ...describeContent(forwarding, end, inputs),
      },
    },
  },
];
