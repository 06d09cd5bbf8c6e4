import { LIMIT_VALIDITY_MS } from './constants.js';
import { addRest, isResting, isUntried, recordTrial } from './rest.js';
import type { StatedRest } from './rest.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';

/** What a statement that cannot be read was about. */
export type StatementSubject = 'load' | 'limit' | 'leaving' | 'rest';

/** What an endpoint says of itself in the head of an answer. */
export type EndpointStatement =
  /** Number of its requests from all daemons together, and of the slots for them. */
  | {
      readonly kind: 'load';
      readonly running: number;
      readonly waiting: number;
      readonly slots: number;
      /** How long its work takes now, as a multiple of the usual time; null if it does not say. */
      readonly slowdown: number | null;
    }
  /** Requests per second that it accepts from all daemons together. */
  | { readonly kind: 'limit'; readonly requestsPerSecond: number }
  /** It leaves and takes no more requests. */
  | { readonly kind: 'leaving' }
  /** It wants no requests of this daemon for a time. */
  | { readonly kind: 'rest'; readonly restMs: Millis }
  | { readonly kind: 'malformed'; readonly subject: StatementSubject; readonly text: string };

/** Number of requests that an endpoint stated in an answer, those that wait included. */
export interface StatedLoad {
  readonly requests: number;
  readonly slowdown: number | null;
  readonly observedAt: Millis;
}

/** Newest statement of an endpoint about its request limit. */
export interface StatedLimit {
  /** Requests per second from all daemons together; null without a limit. */
  readonly requestsPerSecond: number | null;
  readonly observedAt: Millis;
}

/** All that one incarnation of an endpoint has stated and that may still hold. */
export interface EndpointStatements {
  /** Null until it states its load. */
  readonly load: StatedLoad | null;
  /** Null until it states a limit. */
  readonly limit: StatedLimit | null;
  /** Instant at which it first said that it leaves; null before. It does not take that back. */
  readonly leavingAt: Millis | null;
  /** Null until it asks for rest. */
  readonly rest: StatedRest | null;
}

export const NO_STATEMENTS: EndpointStatements = {
  load: null,
  limit: null,
  leavingAt: null,
  rest: null,
};

/** Whether an endpoint takes a new request of this daemon. */
export type Willingness = 'willing' | 'leaving' | 'resting';

/**
 * Checks whether an endpoint takes a new request, by what it has stated.
 *
 * @param stated - its statements; null without any
 * @param now - current instant
 * @returns its willingness
 */
export const checkWillingness = (stated: EndpointStatements | null, now: Millis): Willingness => {
  if (stated === null) return 'willing';
  if (stated.leavingAt !== null) return 'leaving';
  return isResting(stated.rest, now) ? 'resting' : 'willing';
};

/**
 * Adds a statement to those of an endpoint.
 *
 * @param stated - earlier statements
 * @param statement - newest one
 * @param now - time of its arrival
 * @returns the statements
 */
export const applyStatement = (
  stated: EndpointStatements,
  statement: EndpointStatement,
  now: Millis,
): EndpointStatements => {
  switch (statement.kind) {
    case 'load': {
      const requests = statement.running + statement.waiting;
      const { slowdown } = statement;
      return { ...stated, load: { requests, slowdown, observedAt: now } };
    }
    case 'limit': {
      const { requestsPerSecond } = statement;
      return { ...stated, limit: { requestsPerSecond, observedAt: now } };
    }
    case 'leaving':
      return { ...stated, leavingAt: stated.leavingAt ?? now };
    case 'rest':
      return { ...stated, rest: addRest(stated.rest, statement.restMs, now) };
    case 'malformed':
      return stated;
    default:
      return assertNever(statement);
  }
};

/**
 * Adds what the answer to a request states, and ends what it does not state any more.
 *
 * @param stated - earlier statements
 * @param statements - statements of the answer
 * @param sentAt - instant at which the request was sent
 * @param now - time of arrival of the answer
 * @returns the statements
 */
export const applyAnswer = (
  stated: EndpointStatements,
  statements: readonly EndpointStatement[],
  sentAt: Millis,
  now: Millis,
): EndpointStatements => {
  const applied = statements.reduce(
    (current, statement) => applyStatement(current, statement, now),
    stated,
  );
  const kinds = new Set(statements.map(({ kind }) => kind));
  const isLimitEnded = stated.limit?.requestsPerSecond != null && !kinds.has('limit');
  return {
    ...applied,
    limit: isLimitEnded ? { requestsPerSecond: null, observedAt: now } : applied.limit,
    rest: kinds.has('rest') ? applied.rest : recordTrial(applied.rest, sentAt, now),
  };
};

/**
 * Reports whether an answer that states nothing ends something that its endpoint stated.
 *
 * @param stated - statements of the endpoint; null without any
 * @returns true when it has a limit, or a rest in which it is to be tried
 */
export const isEndedBySilence = (stated: EndpointStatements | null): boolean =>
  stated !== null && (stated.limit?.requestsPerSecond != null || isUntried(stated.rest));

/**
 * Finds the limit of an endpoint, or its end, as long as it counts.
 *
 * @param stated - its statements; null without any
 * @param now - current instant
 * @returns the limit; null without a statement in force
 */
export const findLimit = (stated: EndpointStatements | null, now: Millis): StatedLimit | null => {
  const limit = stated?.limit ?? null;
  return limit === null || now - limit.observedAt > LIMIT_VALIDITY_MS ? null : limit;
};
