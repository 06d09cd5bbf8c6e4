import { cancelAttempts } from './attempts.js';
import { releaseCopy } from './generationCopy.js';
import {
  findLargestAnswer,
  removeAttempt,
  holdFallbackAnswer,
  updateHeldBytes,
} from './answerMemory.js';
import { END_EVENTS, MAX_WHOLE_ANSWER_BYTES, SURVIVED_EVENTS } from './constants.js';
import { listAnsweredFingerprints } from './content.js';
import { failAttempt } from './crashes.js';
import { isEndUnproven, probeEnd } from './endProof.js';
import { finishStream, sendWholeAnswer } from './outcomes.js';
import { endAttempt } from './retrying.js';
import { countRun } from './runCounting.js';
import { describeHeld, endOverlap, isHeldForContinuation } from './silence.js';
import { removeStopOf } from './stopState.js';
import { findMissingPart } from './streamEnd.js';
import { checkStreamEnd } from './transfers.js';
import type { AttemptEnd } from './attemptEnds.js';
import type { Attempt, Effects, Forwarding, RequestsContext } from './types.js';
import { appendChunk, listParts, takeParts } from '../../core/bytes/byteBlocks.js';
import { checkEventOrder } from '../../decisions/forwarding/eventOrder.js';
import type { StreamProgress } from '../../decisions/forwarding/eventOrder.js';
import {
  createSplitterCopy,
  isBetweenEvents,
  splitEvents,
} from '../../decisions/forwarding/eventSplitter.js';
import type { StreamEvent } from '../../decisions/forwarding/eventSplitter.js';
import type { GatewayEffect } from '../effects.js';
import type { AnswerHead } from '../types.js';

const STATUS_OK = 200;
const STATUS_REDIRECT = 300;
const STATUS_SERVER_ERROR = 500;

const isSuccess = ({ status }: AnswerHead): boolean =>
  status >= STATUS_OK && status < STATUS_REDIRECT;

const isStreaming = (forwarding: Forwarding, attempt: Attempt): boolean =>
  forwarding.route.answer === 'stream' && attempt.head !== null && isSuccess(attempt.head);

const reportSurvival = (forwarding: Forwarding, context: RequestsContext): GatewayEffect[] => {
  const fingerprints = listAnsweredFingerprints(forwarding, context);
  if (fingerprints.length === 0) return [];
  return [{ kind: 'post', event: { to: 'quarantine', kind: 'answer-observed', fingerprints } }];
};

const joinParts = (parts: readonly Uint8Array[]): Uint8Array =>
  parts.length === 1 ? (parts[0] as Uint8Array) : Buffer.concat(parts);

/** Closes the connection of an attempt and ends the attempt without a usable answer. */
const endOpenAttempt = (
  forwarding: Forwarding,
  attempt: Attempt,
  end: AttemptEnd,
  context: RequestsContext,
): Effects => [
  { kind: 'cancel-attempt', key: forwarding.request.key, attempt: attempt.number },
  ...endAttempt(forwarding, attempt, end, context),
];

const findFault = (forwarding: Forwarding, head: AnswerHead): AttemptEnd | null => {
  if (head.requestId !== null && head.requestId !== forwarding.request.id) {
    return { kind: 'garbled', message: 'the answer belongs to another request' };
  }
  if (head.proof === 'not-run') {
    return { kind: 'refused', message: `the endpoint refused with ${head.status.toString()}` };
  }
  if (isSuccess(head) && head.signature === 'unsigned') {
    return { kind: 'garbled', message: 'the answer has no signature' };
  }
  if (head.encoding === 'encoded') {
    return { kind: 'garbled', message: 'the answer has a content encoding that was not requested' };
  }
  return null;
};

/**
 * Validates and stores the head of an endpoint's answer.
 *
 * @param forwarding - request
 * @param attempt - attempt that is answered
 * @param head - head of the answer
 * @param context - state and inputs
 * @returns effects
 */
export const startAnswer = (
  forwarding: Forwarding,
  attempt: Attempt,
  head: AnswerHead,
  context: RequestsContext,
): Effects => {
  const fault = findFault(forwarding, head);
  if (fault !== null) return endOpenAttempt(forwarding, attempt, fault, context);
  attempt.phase = 'answering';
  attempt.head = head;
  // A stream runs with its first event; its head may come while it waits.
  return isStreaming(forwarding, attempt) ? [] : countRun(forwarding, context);
};

const writeEvents = (
  forwarding: Forwarding,
  attempt: Attempt,
  events: readonly StreamEvent[],
  context: RequestsContext,
): Effects => {
  const now = context.inputs.clock.now();
  const { key } = forwarding.request;
  const effects: GatewayEffect[] = [];
  attempt.lastEventAt = now;
  attempt.reportedRun = null;
  const eventsBefore = attempt.events;
  attempt.events += events.length;
  if (eventsBefore < SURVIVED_EVENTS && attempt.events >= SURVIVED_EVENTS) {
    effects.push(...reportSurvival(forwarding, context));
  }
  forwarding.eventsDelivered += events.length;
  if (forwarding.delivered === 'nothing') {
    forwarding.delivered = 'events';
    forwarding.firstEventAt = now;
    effects.push(
      ...countRun(forwarding, context),
      { kind: 'start-answer', key, head: attempt.head as AnswerHead },
      {
        kind: 'record-latency',
        name: 'gateway_first_event_ms',
        route: forwarding.route.name,
        duration: now - forwarding.request.receivedAt,
      },
    );
  } else {
    forwarding.longestGapMs = Math.max(forwarding.longestGapMs, now - forwarding.lastDeliveredAt);
  }
  forwarding.lastDeliveredAt = now;
  forwarding.lastEventId = events.findLast(({ id }) => id !== null)?.id ?? forwarding.lastEventId;
  const bytes = joinParts(events.map((event) => event.bytes));
  return [...effects, { kind: 'write-answer', key, bytes }];
};

/** An event has one output token at least; a limit of 0 means that the caller stated none. */
const getProgress = ({ eventsDelivered, lastEventId, request }: Forwarding): StreamProgress => {
  const maxOutputTokens = request.demand?.maxOutputTokens ?? 0;
  const eventsLeft = maxOutputTokens === 0 ? null : maxOutputTokens - eventsDelivered + END_EVENTS;
  return { lastEventId, eventsLeft };
};

/** Ends the largest answer if all that are being received exceed their memory together. */
const limitAnswers = (context: RequestsContext): Effects => {
  const { inputs, state } = context;
  if (inputs.hasAnswerRoom()) return [];
  const largest = findLargestAnswer(state);
  if (largest === null) return [];
  const end = { kind: 'garbled', message: 'the answers are too large together' } as const;
  return [...endOpenAttempt(largest.forwarding, largest.attempt, end, context)];
};

/** Keeps bytes of an answer until it is whole, or until the stream's continuation has failed. */
const holdBytes = (
  forwarding: Forwarding,
  attempt: Attempt,
  bytes: Uint8Array,
  context: RequestsContext,
): Effects => {
  appendChunk(attempt.body, bytes);
  updateHeldBytes(attempt, context.state);
  if (attempt.body.length <= MAX_WHOLE_ANSWER_BYTES) return limitAnswers(context);
  const end = { kind: 'garbled', message: 'the answer is too large' } as const;
  return endOpenAttempt(forwarding, attempt, end, context);
};

const continueStream = (
  forwarding: Forwarding,
  attempt: Attempt,
  bytes: Uint8Array,
  context: RequestsContext,
): Effects => {
  const split = splitEvents(attempt.splitter, bytes);
  updateHeldBytes(attempt, context.state);
  const { events, fault } = checkEventOrder(split.events, getProgress(forwarding));
  // The endpoint whose event comes first keeps a stream that another one continues.
  const written =
    events.length === 0
      ? []
      : [
          ...endOverlap(forwarding, attempt, context),
          ...writeEvents(forwarding, attempt, events, context),
        ];
  const message = split.outcome === 'too-large' ? 'an event is too large' : fault;
  if (message === null) return [...written, ...limitAnswers(context)];
  const end = { kind: 'garbled', message } as const;
  return [...written, ...endOpenAttempt(forwarding, attempt, end, context)];
};

const holdStream = (
  forwarding: Forwarding,
  attempt: Attempt,
  bytes: Uint8Array,
  context: RequestsContext,
): Effects => {
  const described = attempt.body.length === 0 ? [describeHeld(forwarding, attempt, context)] : [];
  return [...described, ...holdBytes(forwarding, attempt, bytes, context)];
};

/** Passes on what was held of a stream. */
const continueHeldStream = (
  forwarding: Forwarding,
  attempt: Attempt,
  context: RequestsContext,
): Effects => {
  const bytes = joinParts(takeParts(attempt.body));
  return continueStream(forwarding, attempt, bytes, context);
};

/**
 * Passes on the events of a leaving endpoint that were held until now, if its continuation failed.
 *
 * @param forwarding - request, after one of its events was handled
 * @param context - state and inputs
 * @returns effects
 */
export const releaseHeldStream = (forwarding: Forwarding, context: RequestsContext): Effects =>
  [...forwarding.attempts.values()]
    .filter(
      (attempt) =>
        attempt.body.length > 0 &&
        isStreaming(forwarding, attempt) &&
        !isHeldForContinuation(forwarding, attempt, context),
    )
    .flatMap((attempt) => continueHeldStream(forwarding, attempt, context));

/**
 * Handles bytes of an endpoint's answer: forwards complete events, or buffers a whole answer.
 *
 * @param forwarding - request
 * @param attempt - attempt that is answered
 * @param bytes - next bytes of the body
 * @param context - state and inputs
 * @returns effects
 */
export const continueAnswer = (
  forwarding: Forwarding,
  attempt: Attempt,
  bytes: Uint8Array,
  context: RequestsContext,
): Effects => {
  if (!isStreaming(forwarding, attempt)) return holdBytes(forwarding, attempt, bytes, context);
  if (isHeldForContinuation(forwarding, attempt, context))
    return holdStream(forwarding, attempt, bytes, context);
  if (attempt.body.length === 0) return continueStream(forwarding, attempt, bytes, context);
  // The hold ended without an event of this request, and what is held comes first.
  appendChunk(attempt.body, bytes);
  return continueHeldStream(forwarding, attempt, context);
};

const observeAnswer = (attempt: Attempt, context: RequestsContext): GatewayEffect => ({
  kind: 'post',
  event: {
    to: 'membership',
    kind: 'attempt-observed',
    endpoint: attempt.endpoint.id,
    observation: { kind: 'answered', durationMs: context.inputs.clock.now() - attempt.startedAt },
  },
});

/** Events that are held of a stream, and whether it may end after them. */
interface HeldEvents {
  readonly events: readonly StreamEvent[];
  readonly place: 'between-events' | 'inside-event';
}

const splitHeld = ({ body, splitter }: Attempt): HeldEvents => {
  const copy = createSplitterCopy(splitter);
  const { events } = splitEvents(copy, joinParts(listParts(body)));
  return { events, place: isBetweenEvents(copy) ? 'between-events' : 'inside-event' };
};

/** Finds out whether a stream ended without the events that are held of another endpoint. */
const findContradiction = ({ attempts }: Forwarding, { events }: Attempt): string | null => {
  const isContradicted =
    events === 0 && [...attempts.values()].some((other) => splitHeld(other).events.length > 0);
  return isContradicted ? 'before events of another endpoint' : null;
};

const endStream = (forwarding: Forwarding, attempt: Attempt, context: RequestsContext): Effects => {
  // The source of a transfer closes its stream, which for this framing looks like the end.
  if (
    attempt.head?.framing === 'until-close' &&
    checkStreamEnd(forwarding, attempt, 'ended', context) === 'wait'
  )
    return [];
  const place = findMissingPart(forwarding, attempt) ?? findContradiction(forwarding, attempt);
  if (place !== null) {
    const end = { kind: 'broken', message: `the stream ended ${place}` } as const;
    return failAttempt(forwarding, attempt, end, context);
  }
  if (isEndUnproven(attempt)) return probeEnd(forwarding, attempt, context);
  removeAttempt(forwarding, attempt, context.state);
  removeStopOf(forwarding.request.key, attempt.number, context);
  const others = [...releaseCopy(attempt), ...cancelAttempts(forwarding, context)];
  return [
    observeAnswer(attempt, context),
    ...others,
    ...finishStream(forwarding, attempt, context),
  ];
};

/** Ends a stream of which events are held: if it is whole, the continuation is not needed. */
const endHeldStream = (
  forwarding: Forwarding,
  attempt: Attempt,
  context: RequestsContext,
): Effects => {
  const { events, place } = splitHeld(attempt);
  const { fault } = checkEventOrder(events, getProgress(forwarding));
  if (fault !== null || place === 'inside-event') {
    if (checkStreamEnd(forwarding, attempt, 'broken', context) === 'wait') return [];
    const message = fault ?? 'the stream ended inside an event';
    return failAttempt(forwarding, attempt, { kind: 'broken', message }, context);
  }
  const continued = continueHeldStream(forwarding, attempt, context);
  const isOpen = forwarding.attempts.has(attempt.number);
  return isOpen ? [...continued, ...endStream(forwarding, attempt, context)] : continued;
};

/**
 * Handles the end of an endpoint's answer.
 *
 * @param forwarding - request
 * @param attempt - attempt whose answer is complete
 * @param context - state and inputs
 * @returns effects
 */
export const finishAnswer = (
  forwarding: Forwarding,
  attempt: Attempt,
  context: RequestsContext,
): Effects => {
  const { head } = attempt;
  if (head === null) {
    const end = { kind: 'garbled', message: 'the answer has no head' } as const;
    return endAttempt(forwarding, attempt, end, context);
  }
  if (isStreaming(forwarding, attempt)) {
    return attempt.body.length > 0
      ? endHeldStream(forwarding, attempt, context)
      : endStream(forwarding, attempt, context);
  }
  const { allocatedBytes: heldBytes } = attempt.body;
  const answer = { head, body: listParts(attempt.body), heldBytes };
  if (head.status >= STATUS_SERVER_ERROR || forwarding.delivered === 'events') {
    holdFallbackAnswer(forwarding, answer, context.state);
    const message = `the endpoint answered with ${head.status.toString()}`;
    return endAttempt(forwarding, attempt, { kind: 'failed-answer', message }, context);
  }
  if (isEndUnproven(attempt)) return probeEnd(forwarding, attempt, context);
  removeAttempt(forwarding, attempt, context.state);
  const others = cancelAttempts(forwarding, context);
  return [
    observeAnswer(attempt, context),
    ...(isSuccess(head) ? reportSurvival(forwarding, context) : []),
    ...others,
    ...sendWholeAnswer(forwarding, answer, context),
  ];
};
