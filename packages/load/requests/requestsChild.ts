import { z } from 'zod';
import { EMPTY_ANSWER, checkLength, checkText } from './answerCheck.js';
import { createMeasures } from './measures.js';
import type { RequestRecord, RequestsState, Violation } from './types.js';
import { formatRequestId } from '../client/requestId.js';
import type { LoadClass, Scenario } from '../scenario/types.js';
import type { LoadEffect, Outcome, RequestsEvent } from '../types.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import type { Step } from '../../core/step.js';
import { toStep } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';

type RequestsStep = Step<RequestsState, LoadEffect>;

/** Parts of the scenario that the requests child uses. */
export interface RequestsContext {
  readonly run: string;
  readonly settleMs: Millis;
  readonly classes: ReadonlyMap<string, LoadClass>;
}

const BALANCE_SCHEMA = z.object({ account: z.string() });
const EXECUTION_SCHEMA = z.object({ key: z.string() });

const isMeasured = (record: RequestRecord, context: RequestsContext): boolean =>
  record.arrival.atMs >= context.settleMs;

const getStallMs = (record: RequestRecord, context: RequestsContext): Millis =>
  context.classes.get(record.arrival.className)?.targets.stallMs ?? Infinity;

const recordText = (
  record: RequestRecord,
  at: Millis,
  measures: RequestsState['measures'],
  context: RequestsContext,
): void => {
  if (!isMeasured(record, context)) return;
  const { className, atMs } = record.arrival;
  measures.addToken(className);
  if (record.firstAt === 'none') {
    measures.record(className, 'first-token', at - atMs);
    return;
  }
  const gap = at - record.lastAt;
  measures.record(className, 'token-gap', gap);
  if (gap > getStallMs(record, context)) measures.addStall(className, gap);
};

const handleText = (
  state: RequestsState,
  event: Extract<RequestsEvent, { kind: 'text' }>,
  context: RequestsContext,
): RequestsStep => {
  const record = state.table.get(event.number);
  if (record?.outcome.kind !== 'open') return toStep(state);
  recordText(record, event.at, state.measures, context);
  state.table.set(event.number, {
    ...record,
    check: checkText(record.check, event.text),
    firstAt: record.firstAt === 'none' ? event.at : record.firstAt,
    lastAt: event.at,
  });
  return toStep(state);
};

/** Describes what is wrong with the answer of a plain service; empty when it is correct. */
const describeWrongAnswer = (record: RequestRecord, answer: unknown, key: string): string => {
  const { work } = record.arrival;
  switch (work.kind) {
    case 'generation':
      return '';
    case 'lookup': {
      const balance = BALANCE_SCHEMA.safeParse(answer);
      if (balance.success && balance.data.account === work.account) return '';
      return `requested ${work.account}, received ${JSON.stringify(answer)}`;
    }
    case 'execution': {
      const execution = EXECUTION_SCHEMA.safeParse(answer);
      if (execution.success && execution.data.key === key) return '';
      return `requested with key ${key}, received ${JSON.stringify(answer)}`;
    }
    default:
      return assertNever(work);
  }
};

const listViolations = (
  record: RequestRecord,
  outcome: Outcome,
  context: RequestsContext,
): readonly Violation[] => {
  const { work, className, number } = record.arrival;
  const requestId = formatRequestId(context.run, number);
  const isFinishedGeneration = outcome.kind === 'finished' && work.kind === 'generation';
  const check = isFinishedGeneration ? checkLength(record.check, work.outputTokens) : record.check;
  const lengthDetail = `${record.check.nextNumber.toString()} tokens`;
  const violations = check.faults.map((kind) => ({
    kind,
    requestId,
    className,
    detail: lengthDetail,
  }));
  const detail =
    outcome.kind === 'finished' ? describeWrongAnswer(record, outcome.answer, requestId) : '';
  if (detail === '') return violations;
  return [...violations, { kind: 'wrong-answer', requestId, className, detail }];
};

const recordLatencies = (
  record: RequestRecord,
  outcome: Outcome,
  at: Millis,
  state: RequestsState,
  context: RequestsContext,
): void => {
  if (outcome.kind !== 'finished' || !isMeasured(record, context)) return;
  const { className, atMs } = record.arrival;
  // A plain service answers in one piece, so its time to first token is that of the whole answer.
  if (record.firstAt === 'none') state.measures.record(className, 'first-token', at - atMs);
  state.measures.record(className, 'whole-answer', at - atMs);
};

const buildDoneEffects = (state: RequestsState): readonly LoadEffect[] =>
  state.phase === 'draining' && state.open === 0 ? [{ kind: 'done' }] : [];

const closeRequest = (
  state: RequestsState,
  event: Extract<RequestsEvent, { kind: 'ended' }>,
  context: RequestsContext,
): RequestsStep => {
  const record = state.table.get(event.number);
  if (record?.outcome.kind !== 'open') return toStep(state);
  recordLatencies(record, event.outcome, event.at, state, context);
  const violations = listViolations(record, event.outcome, context);
  // The answer has been checked above, so the record keeps only the outcome.
  const outcome: Outcome =
    event.outcome.kind === 'finished' ? { kind: 'finished', answer: null } : event.outcome;
  state.table.set(event.number, { ...record, outcome, lastAt: event.at });
  const next = {
    ...state,
    open: state.open - 1,
    violations: [...state.violations, ...violations],
  };
  return toStep(next, ...buildDoneEffects(next));
};

const openRequest = (
  state: RequestsState,
  event: Extract<RequestsEvent, { kind: 'sent' }>,
  context: RequestsContext,
): RequestsStep => {
  const { arrival, at } = event;
  const record: RequestRecord = {
    arrival,
    check: EMPTY_ANSWER,
    firstAt: 'none',
    lastAt: at,
    retryKinds: [],
    outcome: { kind: 'open' },
  };
  state.table.set(arrival.number, record);
  if (isMeasured(record, context)) {
    state.measures.record(arrival.className, 'send-delay', at - arrival.atMs);
  }
  return toStep({ ...state, open: state.open + 1 });
};

const endDrain = (state: RequestsState): RequestsStep => {
  if (state.phase === 'over') return toStep(state);
  for (const [number, record] of state.table) {
    if (record.outcome.kind !== 'open') continue;
    state.table.set(number, { ...record, outcome: { kind: 'unfinished' } });
  }
  return toStep<RequestsState, LoadEffect>({ ...state, phase: 'over', open: 0 }, { kind: 'done' });
};

/**
 * Handles one event of the requests.
 *
 * @param state - requests of the run so far
 * @param event - start, answer part, retry or end of a request, or end of arrivals or drain time
 * @param context - classes and start of the measured time
 * @returns the next state, with the effect `done` once arrivals are over and no request is open
 */
export const decideRequests = (
  state: RequestsState,
  event: RequestsEvent,
  context: RequestsContext,
): RequestsStep => {
  switch (event.kind) {
    case 'sent':
      return openRequest(state, event, context);
    case 'text':
      return handleText(state, event, context);
    case 'retried': {
      const record = state.table.get(event.number);
      if (record === undefined) return toStep(state);
      const retryKinds = [...record.retryKinds, event.retryKind];
      state.table.set(event.number, { ...record, retryKinds });
      return toStep(state);
    }
    case 'ended':
      return closeRequest(state, event, context);
    case 'arrivals-over': {
      const next: RequestsState = { ...state, phase: 'draining' };
      return toStep(next, ...buildDoneEffects(next));
    }
    case 'drain-over':
      return endDrain(state);
    default:
      return assertNever(event);
  }
};

/**
 * Creates the child that checks and measures requests.
 *
 * @param scenario - classes and start of the measured time
 * @param run - id of the run
 * @returns the logic of the child
 */
export const createRequestsChild = (
  scenario: Scenario,
  run: string,
): ChildLogic<RequestsState, RequestsEvent, LoadEffect> => {
  const context: RequestsContext = {
    run,
    settleMs: scenario.settleMs,
    classes: new Map(scenario.classes.map((loadClass) => [loadClass.name, loadClass])),
  };
  return {
    init: () =>
      toStep({
        phase: 'arriving',
        open: 0,
        table: new Map(),
        measures: createMeasures(),
        violations: [],
      }),
    decide: (state, event) => decideRequests(state, event, context),
  };
};
