import { EXPIRY_INTERVAL_MS } from './constants.js';
import type { CallsState, RunningCall } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import { toStep } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';
import { decideNonce } from '../../decisions/idempotency/nonces.js';
import type { NonceTable } from '../../decisions/idempotency/nonces.js';
import type { FenceResult as NonceFence } from '../../decisions/idempotency/types.js';
import type {
  CallsEvent,
  EndpointEffect,
  FenceCall,
  FenceResult,
  ServiceAnswer,
  ServiceCall,
  WorkResult,
} from '../types.js';

/** Dependencies of the decisions on calls. */
export interface CallsInputs {
  readonly now: () => Millis;
  /** Survives restarts of the child, since a started nonce must never start again. */
  readonly nonces: NonceTable;
  readonly hashBody: (body: Uint8Array) => string;
}

const FIRST_SERVER_ERROR = 500;

const refuseCall = (call: ServiceCall, failure: Failure): readonly EndpointEffect[] => [
  { kind: 'reply-failure', callId: call.callId, failure },
  {
    kind: 'log',
    name: 'work-refused',
    details: {
      requestId: call.requestId,
      received: call.callId,
      data: { code: failure.code, verdict: failure.verdict },
    },
  },
];

const startNonce = (state: CallsState, call: ServiceCall, inputs: CallsInputs): Failure | null => {
  if (call.nonce === null) return null;
  const decision = decideNonce(state.nonces, {
    kind: 'start',
    nonce: call.nonce,
    incarnation: call.incarnation,
    now: inputs.now(),
  });
  switch (decision.kind) {
    case 'run':
      return null;
    case 'refuse':
      return decision.failure;
    case 'fence':
    case 'no-reply':
      return createFailure('may-have-run', 'internal', 'unexpected decision of the nonce table');
    default:
      return assertNever(decision);
  }
};

const openCall = (
  state: CallsState,
  call: ServiceCall,
  inputs: CallsInputs,
): readonly EndpointEffect[] => {
  const refusal = startNonce(state, call, inputs);
  if (refusal !== null) {
    return [
      ...refuseCall(call, refusal),
      buildWorkEnded({ call, startedAt: inputs.now() }, 'cancelled', inputs.now()),
    ];
  }
  state.running.set(call.callId, { call, startedAt: inputs.now() });
  return [{ kind: 'call-service', call }];
};

const buildWorkEnded = (
  { call, startedAt }: RunningCall,
  result: WorkResult,
  now: Millis,
): EndpointEffect => ({
  kind: 'post',
  event: {
    to: 'engine',
    kind: 'work-ended',
    outcome: {
      workId: call.callId,
      customer: call.customer,
      route: `${call.method} ${call.path.split('?')[0] ?? ''}`,
      className: call.className,
      result,
      firstTokenMs: now - startedAt,
      tokenGapMsSum: 0,
      tokenGaps: 0,
    },
  },
});

const finishCall = (
  state: CallsState,
  callId: string,
  answer: ServiceAnswer,
  inputs: CallsInputs,
): readonly EndpointEffect[] => {
  const running = state.running.get(callId);
  if (running === undefined) return [];
  state.running.delete(callId);
  const now = inputs.now();
  const { nonce } = running.call;
  if (nonce !== null) {
    const stored = { ...answer, bodyDigest: inputs.hashBody(answer.body) };
    decideNonce(state.nonces, { kind: 'finish', nonce, answer: stored, now });
  }
  const result = answer.status >= FIRST_SERVER_ERROR ? 'failure' : 'success';
  return [{ kind: 'reply-answer', callId, answer }, buildWorkEnded(running, result, now)];
};

/** A call that was not sent for its deadline says nothing about the service. */
const toWorkResult = ({ code, verdict }: Failure): WorkResult => {
  if (code === 'deadline-exceeded' && verdict === 'not-run') return 'cancelled';
  return code === 'endpoint-lost' ? 'lost' : 'failure';
};

const failCall = (
  state: CallsState,
  callId: string,
  failure: Failure,
  inputs: CallsInputs,
): readonly EndpointEffect[] => {
  const running = state.running.get(callId);
  if (running === undefined) return [];
  state.running.delete(callId);
  const { nonce } = running.call;
  if (nonce !== null && failure.verdict === 'not-run') {
    decideNonce(state.nonces, { kind: 'release', nonce });
  }
  return [
    { kind: 'reply-failure', callId, failure },
    buildWorkEnded(running, toWorkResult(failure), inputs.now()),
  ];
};

const toFenceEffect = (callId: string, result: NonceFence): EndpointEffect => {
  switch (result.kind) {
    case 'fenced':
    case 'started':
    case 'unknown-incarnation':
      return { kind: 'reply-fence', callId, result: result.kind, answer: null };
    case 'finished':
      return { kind: 'reply-fence', callId, result: 'finished', answer: result.answer };
    case 'unreachable':
      return { kind: 'reply-fence', callId, result: 'unknown-incarnation', answer: null };
    default:
      return assertNever(result);
  }
};

const fenceNonce = (
  state: CallsState,
  call: FenceCall,
  inputs: CallsInputs,
): readonly EndpointEffect[] => {
  const { callId, nonce, incarnation } = call;
  const event = { kind: 'fence', nonce, incarnation, now: inputs.now() } as const;
  const decision = decideNonce(state.nonces, event);
  switch (decision.kind) {
    case 'fence': {
      const result: FenceResult =
        decision.result.kind === 'unreachable' ? 'unknown-incarnation' : decision.result.kind;
      const logged: EndpointEffect = {
        kind: 'log',
        name: 'nonce-fenced',
        details: { received: `fence/${nonce}`, data: { nonce, result } },
      };
      return [toFenceEffect(callId, decision.result), logged];
    }
    // A full table cannot store the fence, so the requesting entry daemon must treat the nonce as
    // started.
    case 'refuse':
    case 'run':
    case 'no-reply':
      return [{ kind: 'reply-fence', callId, result: 'started', answer: null }];
    default:
      return assertNever(decision);
  }
};

const decideCalls = (
  state: CallsState,
  event: CallsEvent,
  inputs: CallsInputs,
): readonly EndpointEffect[] => {
  switch (event.kind) {
    case 'open':
      return openCall(state, event.call, inputs);
    case 'service-answered':
      return finishCall(state, event.callId, event.answer, inputs);
    case 'service-failed':
      return failCall(state, event.callId, event.failure, inputs);
    case 'fence':
      return fenceNonce(state, event.call, inputs);
    case 'sweep':
      decideNonce(state.nonces, { kind: 'expire', now: inputs.now() });
      return [{ kind: 'schedule', delayMs: EXPIRY_INTERVAL_MS, event }];
    default:
      return assertNever(event);
  }
};

/**
 * Creates the decision logic of the `calls` child, which handles calls to a plain service. Nonces
 * ensure that a call runs at most once.
 *
 * A restarted child fails the calls that were running as `may-have-run`, and reuses the nonces.
 *
 * @param inputs - clock and the nonces of this incarnation
 * @returns the child's logic
 */
export const createCallsLogic = (
  inputs: CallsInputs,
): ChildLogic<CallsState, CallsEvent, EndpointEffect> => ({
  init: () =>
    toStep<CallsState, EndpointEffect>(
      { running: new Map(), nonces: inputs.nonces },
      { kind: 'reset-calls' },
      { kind: 'schedule', delayMs: EXPIRY_INTERVAL_MS, event: { to: 'calls', kind: 'sweep' } },
    ),
  decide: (state, event) => toStep(state, ...decideCalls(state, event, inputs)),
});
