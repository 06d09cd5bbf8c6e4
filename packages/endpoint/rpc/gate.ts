import { DRAIN_CHECK_MS } from './constants.js';
import { checkMessageFormat } from './messageFormat.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import { toStep } from '../../core/step.js';
import type { Step } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';
import { checkNewWork } from '../../decisions/membership/lease.js';
import type { LeaseState } from '../../decisions/membership/leaseTypes.js';
import type { EndpointEffect, GenerateCall, RpcEvent, ServiceCall } from '../types.js';

/** Phase of the daemon; new work is accepted only in the first one. */
export type GateState =
  | { readonly phase: 'accepting' }
  | { readonly phase: 'draining'; readonly since: Millis }
  | { readonly phase: 'ended' };

/** Dependencies of the decisions on admission and drain. */
export interface GateInputs {
  readonly now: () => Millis;
  /** Start of the drain; null before. It outlives the state of the child. */
  readonly drain: { startedAt: Millis | null };
  readonly drainMs: Millis;
  readonly getLease: () => LeaseState;
  /** Counts the streams and calls that have not ended. */
  readonly countOpenWork: () => number;
}

type GateStep = Step<GateState, EndpointEffect>;

const checkStart = (
  state: GateState,
  { incarnation, deadlineAt }: GenerateCall | ServiceCall,
  inputs: GateInputs,
): Failure | null => {
  if (state.phase !== 'accepting') {
    return createFailure('not-run', 'draining', 'the endpoint is leaving');
  }
  const now = inputs.now();
  if (now >= deadlineAt) {
    const message = 'the deadline passed before the endpoint daemon took up the request';
    return createFailure('not-run', 'deadline-exceeded', message);
  }
  return checkNewWork(inputs.getLease(), incarnation, now);
};

const checkGenerate = (
  state: GateState,
  call: GenerateCall,
  inputs: GateInputs,
): Failure | null => {
  const format = checkMessageFormat(call.format);
  if (format !== null) return format;
  if (call.mode === 'start') return checkStart(state, call, inputs);
  if (call.incarnation === inputs.getLease().incarnation) return null;
  // A generation of an earlier incarnation ran, and its buffer is lost.
  return createFailure('may-have-run', 'stream-lost', 'the endpoint daemon restarted');
};

const handleGenerate = (
  state: GateState,
  call: GenerateCall,
  inputs: GateInputs,
): EndpointEffect => {
  const failure = checkGenerate(state, call, inputs);
  if (failure !== null) return { kind: 'send-failure', callId: call.callId, failure };
  // Only a start needs admission; a resume reads from the buffer.
  return call.mode === 'start'
    ? { kind: 'post', event: { to: 'engine', kind: 'admit-generation', call } }
    : { kind: 'post', event: { to: 'streams', kind: 'open', call } };
};

const handleCall = (state: GateState, call: ServiceCall, inputs: GateInputs): EndpointEffect => {
  const failure = checkMessageFormat(call.format) ?? checkStart(state, call, inputs);
  if (failure !== null) return { kind: 'reply-failure', callId: call.callId, failure };
  return { kind: 'post', event: { to: 'engine', kind: 'admit-call', call } };
};

const NEXT_CHECK: EndpointEffect = {
  kind: 'schedule',
  delayMs: DRAIN_CHECK_MS,
  event: { to: 'rpc', kind: 'drain-checked', reads: 'due' },
};

/**
 * A process that had no processor for a while runs its timers before it reads. What the engine has sent is
 * read before the open work is ended.
 */
const CHECK_AFTER_READS: EndpointEffect = {
  kind: 'post-after-reads',
  event: { to: 'rpc', kind: 'drain-checked', reads: 'done' },
};

const startDrain = (state: GateState, reason: string, inputs: GateInputs): GateStep => {
  if (state.phase !== 'accepting') return toStep(state);
  const since = inputs.now();
  inputs.drain.startedAt = since;
  return toStep<GateState, EndpointEffect>(
    { phase: 'draining', since },
    { kind: 'log', name: 'daemon-stopping', details: { data: { reason } } },
    // Entry daemons are notified at once; the next regular heartbeat may be half a second away.
    { kind: 'post', event: { to: 'heartbeats', kind: 'extra-heartbeat-due' } },
    NEXT_CHECK,
  );
};

const checkDrain = (state: GateState, reads: 'due' | 'done', inputs: GateInputs): GateStep => {
  if (state.phase !== 'draining') return toStep(state);
  const left = inputs.countOpenWork();
  const isOver = inputs.now() - state.since >= inputs.drainMs;
  if (left > 0 && !isOver) return toStep(state, NEXT_CHECK);
  if (left > 0 && reads === 'due') return toStep(state, CHECK_AFTER_READS);
  return toStep<GateState, EndpointEffect>({ phase: 'ended' }, { kind: 'end-process', left });
};

/**
 * Creates the decision logic of the `rpc` child, which accepts or refuses the calls of entry
 * daemons and drains the process.
 *
 * @param inputs - clock, drain time and views of the other children
 * @returns the child's logic
 */
export const createGateLogic = (
  inputs: GateInputs,
): ChildLogic<GateState, RpcEvent, EndpointEffect> => ({
  init: () => {
    const since = inputs.drain.startedAt;
    return since === null
      ? toStep<GateState, EndpointEffect>({ phase: 'accepting' })
      : toStep<GateState, EndpointEffect>({ phase: 'draining', since }, NEXT_CHECK);
  },
  decide: (state, event) => {
    switch (event.kind) {
      case 'generate-requested':
        return toStep(state, handleGenerate(state, event.call, inputs));
      case 'call-requested':
        return toStep(state, handleCall(state, event.call, inputs));
      case 'drain-started':
        return startDrain(state, event.reason, inputs);
      case 'drain-checked':
        return checkDrain(state, event.reads, inputs);
      default:
        return assertNever(event);
    }
  },
});
