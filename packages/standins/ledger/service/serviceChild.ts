import { createHash } from 'node:crypto';
import type { Executions } from './executions.js';
import type { Answer, ReplyId } from '../../common/pendingRequests.js';
import type { CallFault, LedgerCall, LedgerEffect, LedgerEvent, LedgerFault } from '../types.js';
import { assertNever } from '../../../core/assertNever.js';
import type { Millis } from '../../../core/clock.js';
import type { Step } from '../../../core/step.js';
import { toStep } from '../../../core/step.js';
import type { ChildLogic } from '../../../core/supervision/types.js';

/** State of the service process. Executions are stored separately, because they survive a crash. */
export interface ServiceState {
  /** Identity of the process since its last start. */
  readonly startId: string;
  readonly faults: readonly CallFault[];
  /** Number of calls received. */
  readonly calls: number;
}

/** Inputs of the service's decisions that are not part of its state. */
export interface ServiceEnvironment {
  readonly executions: Executions;
  readonly callMs: Millis;
  readonly createStartId: () => string;
}

type ServiceStep = Step<ServiceState, LedgerEffect>;

/** Exclusive upper limit of the balance of an account, in cents. */
const BALANCE_LIMIT_CENTS = 100_000_000;

/** Decrements the remaining calls of each fault and removes the faults with none left. */
const countDownFaults = (faults: readonly CallFault[]): readonly CallFault[] =>
  faults.map((fault) => ({ ...fault, calls: fault.calls - 1 })).filter(({ calls }) => calls > 0);

const computeDelay = (faults: readonly CallFault[], kind: 'delay-before' | 'delay-after'): Millis =>
  faults.reduce((sum, fault) => (fault.kind === kind ? sum + fault.delayMs : sum), 0);

const hasFault = (faults: readonly CallFault[], kind: CallFault['kind']): boolean =>
  faults.some((fault) => fault.kind === kind);

/**
 * Computes the balance of an account, which depends only on the account's name.
 *
 * @param account - name of the account
 * @returns balance in cents
 */
export const computeBalance = (account: string): number =>
  createHash('sha256').update(account).digest().readUInt32BE(0) % BALANCE_LIMIT_CENTS;

const performCall = (call: LedgerCall, executions: Executions): Answer => {
  switch (call.kind) {
    case 'balance':
      return {
        status: 200,
        body: { account: call.account, balance: computeBalance(call.account) },
      };
    case 'execute':
      return { status: 201, body: executions.add(call.route, call.key, call.amount) };
    default:
      return assertNever(call);
  }
};

const handleCall = (
  state: ServiceState,
  reply: ReplyId,
  call: LedgerCall,
  environment: ServiceEnvironment,
): ServiceStep => {
  const { faults, startId } = state;
  const next = { ...state, faults: countDownFaults(faults), calls: state.calls + 1 };
  if (hasFault(faults, 'fail-before')) {
    const answer = { status: 500, body: { error: 'injected failure before the call took effect' } };
    return toStep<ServiceState, LedgerEffect>(next, { kind: 'answer', reply, answer });
  }
  return toStep<ServiceState, LedgerEffect>(next, {
    kind: 'schedule',
    delayMs: environment.callMs + computeDelay(faults, 'delay-before'),
    event: { to: 'service', kind: 'execute-due', reply, call, startId, faults },
  });
};

const handleExecuteDue = (
  state: ServiceState,
  event: Extract<LedgerEvent, { kind: 'execute-due' }>,
  environment: ServiceEnvironment,
): ServiceStep => {
  const { reply, faults } = event;
  if (event.startId !== state.startId) return toStep(state, { kind: 'drop', reply });
  const answer = performCall(event.call, environment.executions);
  if (hasFault(faults, 'drop-answer')) return toStep(state, { kind: 'drop', reply });
  const delayMs = computeDelay(faults, 'delay-after');
  if (delayMs === 0) return toStep(state, { kind: 'answer', reply, answer });
  return toStep<ServiceState, LedgerEffect>(state, {
    kind: 'schedule',
    delayMs,
    event: { to: 'service', kind: 'answer-due', reply, answer },
  });
};

const applyFault = (
  state: ServiceState,
  fault: LedgerFault,
  environment: ServiceEnvironment,
): ServiceStep => {
  switch (fault.kind) {
    case 'crash': {
      const restarted = { ...state, startId: environment.createStartId() };
      return toStep<ServiceState, LedgerEffect>(restarted, { kind: 'crash', downMs: fault.downMs });
    }
    case 'freeze':
      return toStep(state, { kind: 'freeze', forMs: fault.forMs });
    case 'clear':
      return toStep({ ...state, faults: [] });
    case 'delay-before':
    case 'delay-after':
    case 'drop-answer':
    case 'fail-before':
      return toStep({ ...state, faults: [...state.faults, fault] });
    default:
      return assertNever(fault);
  }
};

/**
 * Decides one event of the service.
 *
 * @param state - state of the service before the event
 * @param event - call, timer or fault
 * @param environment - executions, duration of a call and start identities
 * @returns the next state and the effects
 */
export const decideService = (
  state: ServiceState,
  event: LedgerEvent,
  environment: ServiceEnvironment,
): ServiceStep => {
  switch (event.kind) {
    case 'call':
      return handleCall(state, event.reply, event.call, environment);
    case 'execute-due':
      return handleExecuteDue(state, event, environment);
    case 'answer-due':
      return toStep(state, { kind: 'answer', reply: event.reply, answer: event.answer });
    case 'apply-fault':
      return applyFault(state, event.fault, environment);
    default:
      return assertNever(event);
  }
};

/**
 * Creates the child that executes the calls of the service.
 *
 * @param environment - executions, duration of a call and start identities
 * @returns the decisions of the child
 */
export const createServiceChild = (
  environment: ServiceEnvironment,
): ChildLogic<ServiceState, LedgerEvent, LedgerEffect> => ({
  init: () => toStep({ startId: environment.createStartId(), faults: [], calls: 0 }),
  decide: (state, event) => decideService(state, event, environment),
});
