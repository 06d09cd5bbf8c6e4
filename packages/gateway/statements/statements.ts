import { MAX_REPORTED_LEAVING, REST_LOG_STEP_MS } from './constants.js';
import { findIncarnation, findStatements, recordIncarnation } from './incarnations.js';
import type { StatedIncarnation, StatedIncarnations } from './incarnations.js';
import { assertNever } from '../../core/assertNever.js';
import type { Clock, Millis } from '../../core/clock.js';
import type { EndpointId } from '../../core/ids.js';
import { toStep } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';
import {
  applyAnswer,
  applyStatement,
  isEndedBySilence,
  NO_STATEMENTS,
} from '../../decisions/forwarding/statements.js';
import type {
  EndpointStatement,
  EndpointStatements,
  StatedLimit,
} from '../../decisions/forwarding/statements.js';
import { isResting } from '../../decisions/forwarding/rest.js';
import type { StatedRest } from '../../decisions/forwarding/rest.js';
import type { EndpointIncarnation } from '../../decisions/forwarding/types.js';
import type { GatewayEffect } from '../effects.js';
import type { StatementsEvent } from '../events.js';

/** What the endpoints say of themselves. Only the `statements` child updates it, in place. */
export interface StatementsState {
  readonly incarnations: StatedIncarnations;
  /**
   * Instants at which endpoints first said that they leave, for the reports to other daemons; above
   * `MAX_REPORTED_LEAVING` the oldest is dropped.
   */
  readonly leaving: Map<EndpointId, Millis>;
}

export interface StatementsInputs {
  readonly clock: Clock;
  readonly incarnations: StatedIncarnations;
  /** Finds the registered incarnation of an endpoint, of which a peer speaks; null without one. */
  readonly findRegistered: (endpoint: EndpointId) => EndpointIncarnation | null;
}

type Effects = readonly GatewayEffect[];

type Answered = Extract<StatementsEvent, { kind: 'endpoint-answered' }>;

const REPORT_CHANGED: GatewayEffect = {
  kind: 'post',
  event: { to: 'peers', kind: 'report-changed' },
};

/**
 * Reports whether an answer changes what is known of its endpoint. Most answers state nothing, and
 * need no event.
 *
 * @param event - answer
 * @param state - what is known
 * @returns false when the answer states nothing and ends nothing
 */
export const hasNews = (
  { endpoint, request, statements }: Answered,
  { incarnations }: StatementsState,
): boolean => {
  if (statements.length > 0) return true;
  return request !== null && isEndedBySilence(findStatements(incarnations, endpoint));
};

/**
 * Lists the endpoints that said since an instant that they leave.
 *
 * @param state - what is known
 * @param since - earliest instant to include
 * @returns the ids of the endpoints
 */
export const listStatedLeaving = (
  { leaving }: StatementsState,
  since: Millis,
): readonly EndpointId[] => [...leaving].filter(([, at]) => at >= since).map(([id]) => id);

const recordLeaving = (
  leaving: Map<EndpointId, Millis>,
  endpoint: EndpointId,
  leavingAt: Millis,
): void => {
  leaving.delete(endpoint);
  leaving.set(endpoint, leavingAt);
  const [oldest] = leaving.keys();
  if (leaving.size > MAX_REPORTED_LEAVING && oldest !== undefined) leaving.delete(oldest);
};

const describeLimit = (
  endpoint: EndpointId,
  before: StatedLimit | null,
  after: StatedLimit | null,
): Effects => {
  const from = before?.requestsPerSecond ?? null;
  const to = after?.requestsPerSecond ?? null;
  if (from === to) return [];
  const data = { requestsPerSecond: to ?? 'none', before: from ?? 'none' };
  return [{ kind: 'log', name: 'endpoint-limited', details: { endpoint, data } }, REPORT_CHANGED];
};

const describeStatement = (
  { endpoint, request }: Answered,
  data: Readonly<Record<string, string | number>>,
): GatewayEffect => ({
  kind: 'log',
  name: 'endpoint-stated',
  details: {
    ...(request === null ? {} : { requestId: request.id }),
    endpoint: endpoint.id,
    entity: endpoint.service,
    data: { ...data, startedAt: endpoint.startedAt ?? 'none' },
  },
});

/** Its generations are transferred, and the other daemons learn of it as of a reported leaving. */
const notifyLeaving = (
  { leaving }: StatementsState,
  answered: Answered,
  before: EndpointStatements,
  after: EndpointStatements,
): Effects => {
  if (before.leavingAt !== null || after.leavingAt === null) return [];
  const { id: endpoint } = answered.endpoint;
  recordLeaving(leaving, endpoint, after.leavingAt);
  return [
    describeStatement(answered, { statement: 'leaving' }),
    { kind: 'post', event: { to: 'requests', kind: 'endpoint-leaving', endpoint } },
    REPORT_CHANGED,
  ];
};

/**
 * Describes a rest that begins or that moves by more than the time in which an endpoint's wish takes
 * effect; each answer of a burst would otherwise have a line.
 */
const describeRest = (
  answered: Answered,
  before: StatedRest | null,
  after: StatedRest | null,
  now: Millis,
): Effects => {
  if (after === null || !isResting(after, now)) return [];
  if (before !== null && after.statedUntil - before.statedUntil <= REST_LOG_STEP_MS) return [];
  const data = {
    statement: 'rest',
    forMs: Math.round(after.until - now),
    statedMs: Math.min(Number.MAX_SAFE_INTEGER, Math.round(after.statedUntil - now)),
  };
  const labels = { service: answered.endpoint.service };
  return [
    describeStatement(answered, data),
    { kind: 'count', name: 'gateway_endpoint_rests_total', labels },
  ];
};

const describeMalformed = (
  answered: Answered,
  statement: Extract<EndpointStatement, { kind: 'malformed' }>,
  known: StatedIncarnation | null,
): Effects => {
  const { subject, text } = statement;
  const count: GatewayEffect = {
    kind: 'count',
    name: 'gateway_malformed_statements_total',
    labels: { service: answered.endpoint.service, subject },
  };
  return known?.malformed.includes(subject) === true
    ? [count]
    : [count, describeStatement(answered, { statement: 'malformed', subject, text })];
};

const listMalformed = (statements: readonly EndpointStatement[]) =>
  statements.flatMap((statement) => (statement.kind === 'malformed' ? [statement] : []));

const handleAnswer = (state: StatementsState, answered: Answered, now: Millis): Effects => {
  const { endpoint, request, statements } = answered;
  const { incarnations } = state;
  const known = findIncarnation(incarnations, endpoint);
  const before = known?.stated ?? NO_STATEMENTS;
  const after =
    request === null
      ? statements.reduce((stated, next) => applyStatement(stated, next, now), before)
      : applyAnswer(before, statements, request.sentAt, now);
  const malformed = listMalformed(statements);
  const subjects = malformed.map(({ subject }) => subject);
  recordIncarnation(incarnations, {
    endpoint,
    stated: after,
    malformed: [...new Set([...(known?.malformed ?? []), ...subjects])],
  });
  return [
    ...malformed.flatMap((statement) => describeMalformed(answered, statement, known)),
    ...describeLimit(endpoint.id, before.limit, after.limit),
    ...notifyLeaving(state, answered, before, after),
    ...describeRest(answered, before.rest, after.rest, now),
  ];
};

const handleReportedLimit = (
  { incarnations }: StatementsState,
  event: Extract<StatementsEvent, { kind: 'limit-reported' }>,
  { findRegistered }: StatementsInputs,
): Effects => {
  const { observedAt, requestsPerSecond } = event;
  const endpoint = findRegistered(event.endpoint);
  if (endpoint === null) return [];
  const known = findIncarnation(incarnations, endpoint);
  const stated = known?.stated ?? NO_STATEMENTS;
  if (observedAt <= (stated.limit?.observedAt ?? -Infinity)) return [];
  const limit = { requestsPerSecond, observedAt };
  const malformed = known?.malformed ?? [];
  recordIncarnation(incarnations, { endpoint, stated: { ...stated, limit }, malformed });
  return describeLimit(endpoint.id, stated.limit, limit);
};

/**
 * Creates the decision logic of the `statements` child, the only owner of what endpoints say of
 * themselves in their answers.
 *
 * @param inputs - clock, remembered statements and registered endpoints
 * @returns the decision logic
 */
export const createStatementsLogic = (
  inputs: StatementsInputs,
): ChildLogic<StatementsState, StatementsEvent, GatewayEffect> => ({
  init: () =>
    toStep<StatementsState, GatewayEffect>({
      incarnations: inputs.incarnations,
      leaving: new Map(),
    }),
  decide: (state, event) => {
    switch (event.kind) {
      case 'endpoint-answered':
        return { state, effects: handleAnswer(state, event, inputs.clock.now()) };
      case 'limit-reported':
        return { state, effects: handleReportedLimit(state, event, inputs) };
      default:
        return assertNever(event);
    }
  },
});
