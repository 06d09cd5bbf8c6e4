import { decideFenceAnswer } from './fencing.js';
import { checkKey } from './keys.js';
import {
  cancelIntent,
  appendIntent,
  fenceAtEndpoint,
  closeWithOutcome,
  resolveChain,
  failNotRun,
  closeRequest,
  schedule,
} from './intentSteps.js';
import type { IntentStep, StateOf } from './intentSteps.js';
import type {
  AppendResult,
  DispatchResult,
  IntentEffect,
  IntentEvent,
  IntentRequest,
  IntentState,
  IntentView,
} from './types.js';
import { assertNever } from '../../core/assertNever.js';
import { toStep } from '../../core/step.js';
import { createFailure } from '../../core/verdict.js';

/**
 * Creates the state of a request under a key.
 *
 * @param request - the request and its deadline
 * @returns state before the `start` event
 */
export const createIntentState = (request: IntentRequest): IntentState => ({
  kind: 'checking',
  request,
  unstartable: [],
  refusedBy: [],
  intents: 0,
  round: 0,
  lastFailure: null,
});

const startRequest = (state: IntentState, view: IntentView): IntentStep => {
  const check = checkKey(state.request, view.chain, view.keyCounts, view.now, view.keys);
  if (check.isErr()) return closeRequest(state, { kind: 'fail', failure: check.error });
  return resolveChain(state, view);
};

const failUnsettled = (state: StateOf<'settling'>, view: IntentView): IntentStep => {
  const message =
    'the intent was not read back from the log in time, so the request was not started';
  const failure = createFailure('not-run', 'log-unavailable', message);
  return cancelIntent(state, view, { kind: 'fail', failure });
};

/** Checks whether this request's intent was read back as active, is void, or is still missing. */
const settleIntent = (state: StateOf<'settling'>, view: IntentView): IntentStep => {
  if (view.standing !== 'exact') return toStep(state);
  const { placement: noncePlacement, previous, append } = state;
  const link = view.chain?.link ?? null;
  if (link?.nonce === noncePlacement.nonce) {
    if (link.standing.kind !== 'open') return resolveChain(state, view);
    if (view.now >= state.request.deadlineAt) return failUnsettled(state, view);
    return toStep(
      { ...state, kind: 'dispatched', placement: noncePlacement },
      { kind: 'dispatch', ...noncePlacement },
    );
  }
  // Another intent became active, and a chain never returns to an earlier nonce. The intent of this
  // request is therefore void, even when its append succeeds later.
  if ((link?.nonce ?? null) !== previous) {
    return resolveChain(
      { ...state, unstartable: [...state.unstartable, noncePlacement.nonce] },
      view,
    );
  }
  if (append.kind === 'appended' && view.nextOffset > append.offset) {
    const failure = createFailure(
      'not-run',
      'key-expired',
      'the key expired before its intent was read back from the log',
    );
    return failNotRun(state, failure, view);
  }
  return toStep(state);
};

const handleIntentAppend = (
  state: StateOf<'settling'>,
  result: AppendResult,
  view: IntentView,
): IntentStep => {
  switch (result.kind) {
    case 'rejected':
      return failNotRun(
        state,
        createFailure('not-run', 'log-unavailable', result.message, result.retryAfterMs),
        view,
      );
    case 'appended':
    case 'unknown': {
      const append =
        result.kind === 'appended'
          ? ({ kind: 'appended', offset: result.offset } as const)
          : ({ kind: 'unknown' } as const);
      const step = settleIntent({ ...state, append }, view);
      if (step.state.kind !== 'settling') return step;
      return toStep(step.state, { kind: 'read-stream' });
    }
    default:
      return assertNever(result);
  }
};

const handleRecordAppend = (
  state: StateOf<'recording'>,
  result: AppendResult,
  view: IntentView,
): IntentStep => {
  if (result.kind === 'appended' || state.tries >= view.limits.maxRecordTries) {
    return closeRequest(state);
  }
  return schedule(state, 'record', view.limits.recordRetryMs);
};

const handleAppend = (
  state: IntentState,
  event: Extract<IntentEvent, { kind: 'append-answered' }>,
  view: IntentView,
): IntentStep => {
  if (state.kind === 'settling') {
    const own = event.of === 'intent' && event.nonce === state.placement.nonce;
    return own ? handleIntentAppend(state, event.result, view) : toStep(state);
  }
  if (state.kind === 'recording') {
    const [record] = state.records;
    const own = record.kind === event.of && record.nonce === event.nonce;
    return own ? handleRecordAppend(state, event.result, view) : toStep(state);
  }
  return toStep(state);
};

const handleDispatchEnd = (
  state: StateOf<'dispatched'>,
  result: DispatchResult,
  view: IntentView,
): IntentStep => {
  switch (result.kind) {
    case 'answered': {
      const { status, bodyDigest } = result.answer;
      const { answer } = result;
      const { placement: noncePlacement } = state;
      const effect: IntentEffect = {
        kind: 'answer',
        answer,
        source: 'own',
        placement: noncePlacement,
      };
      const outcome = { verdict: 'ran', status, bodyDigest } as const;
      return closeWithOutcome(state, state.placement.nonce, outcome, view, effect);
    }
    case 'refused': {
      const refusedBy = [...state.refusedBy, state.placement.endpoint];
      const next = { ...state, refusedBy, lastFailure: result.failure };
      return fenceAtEndpoint(next, state.placement, 'own-refused');
    }
    case 'unknown':
      return fenceAtEndpoint(
        { ...state, lastFailure: result.failure },
        state.placement,
        'own-unknown',
      );
    default:
      return assertNever(result);
  }
};

const handleTimer = (state: IntentState, view: IntentView): IntentStep => {
  switch (state.kind) {
    case 'settling': {
      const step = settleIntent(state, view);
      return step.state.kind === 'settling' ? failUnsettled(state, view) : step;
    }
    case 'waiting':
      return resolveChain(state, view);
    case 'fencing':
      return fenceAtEndpoint(state, state.placement, state.purpose, state.tries + 1);
    case 'recording':
      return toStep(
        { ...state, tries: state.tries + 1 },
        { kind: 'append-records', records: state.records },
      );
    case 'checking':
    case 'choosing':
    case 'dispatched':
    case 'finished':
      return toStep(state);
    default:
      return assertNever(state);
  }
};

const handleFolded = (state: IntentState, view: IntentView): IntentStep => {
  if (state.kind === 'settling') return settleIntent(state, view);
  return state.kind === 'waiting' ? resolveChain(state, view) : toStep(state);
};

/** Cancels a request that was not dispatched; after a dispatch the outcome is still recorded. */
const handleDisconnect = (state: IntentState, view: IntentView): IntentStep => {
  switch (state.kind) {
    case 'settling':
      return cancelIntent(state, view);
    case 'checking':
    case 'waiting':
    case 'choosing':
      return closeRequest(state);
    case 'dispatched':
    case 'fencing':
    case 'recording':
    case 'finished':
      return toStep(state);
    default:
      return assertNever(state);
  }
};

/**
 * Decides the next step of a request that runs at most once. A nonce is dispatched only once, and
 * only after it was read back as active. It is replaced only when it is known never to start.
 *
 * @param state - state of the request
 * @param event - event to handle
 * @param view - current time, log state and chain of the key
 * @returns the next state and the effects to carry out
 */
export const decideIntent = (
  state: IntentState,
  event: IntentEvent,
  view: IntentView,
): IntentStep => {
  switch (event.kind) {
    case 'start':
      return state.kind === 'checking' ? startRequest(state, view) : toStep(state);
    case 'endpoint-chosen':
      if (state.kind !== 'choosing') return toStep(state);
      return appendIntent(state, event.target, event.nonce, view);
    case 'endpoint-unavailable':
      return state.kind === 'choosing' ? failNotRun(state, event.failure, view) : toStep(state);
    case 'append-answered':
      return handleAppend(state, event, view);
    case 'folded':
      return handleFolded(state, view);
    case 'timer':
      return event.round === state.round ? handleTimer(state, view) : toStep(state);
    case 'dispatch-ended': {
      const own = state.kind === 'dispatched' && state.placement.nonce === event.nonce;
      return own ? handleDispatchEnd(state, event.result, view) : toStep(state);
    }
    case 'fence-answered': {
      const own = state.kind === 'fencing' && state.placement.nonce === event.nonce;
      return own ? decideFenceAnswer(state, event.result, view) : toStep(state);
    }
    case 'caller-disconnected':
      return handleDisconnect(state, view);
    default:
      return assertNever(event);
  }
};
