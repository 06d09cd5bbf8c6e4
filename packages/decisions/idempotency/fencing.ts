import { closeWithOutcome, resolveChain, closeRequest, schedule } from './intentSteps.js';
import type { IntentStep, StateOf } from './intentSteps.js';
import type { FencePurpose, FenceResult, IntentEffect, IntentView } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure, FailureCode } from '../../core/verdict.js';

type Fencing = StateOf<'fencing'>;

/** Replies with the recorded status and digest when the key ran and its answer is unavailable. */
const replyFromChain = (state: Fencing, view: IntentView): IntentStep => {
  const standing = view.chain?.link?.standing;
  const outcome = standing?.kind === 'closed' ? standing : { status: null, bodyDigest: null };
  const { status, bodyDigest } = outcome;
  return closeRequest(state, { kind: 'answer-digest', status, bodyDigest });
};

/** Continues the chain after the nonce is known never to start. */
const resumeChain = (state: Fencing, view: IntentView): IntentStep =>
  state.purpose === 'replay'
    ? replyFromChain(state, view)
    : resolveChain({ ...state, unstartable: [...state.unstartable, state.placement.nonce] }, view);

const replyFinished = (
  state: Fencing,
  result: Extract<FenceResult, { kind: 'finished' }>,
  view: IntentView,
): IntentStep => {
  const { answer, status, bodyDigest } = result;
  // The chain records the status and digest of an answer that the endpoint daemon has dropped.
  if (answer === null && state.purpose === 'replay') return replyFromChain(state, view);
  const effect: IntentEffect =
    answer === null
      ? { kind: 'answer-digest', status, bodyDigest }
      : { kind: 'answer', answer, source: 'stored', placement: state.placement };
  const outcome = { verdict: 'ran', status, bodyDigest } as const;
  return closeWithOutcome(state, state.placement.nonce, outcome, view, effect);
};

const createUnresolvedFailure = (
  purpose: FencePurpose,
  ownCode: FailureCode,
  otherCode: FailureCode,
  message: string,
): Failure => createFailure('may-have-run', purpose === 'take-over' ? otherCode : ownCode, message);

const schedulePoll = (state: Fencing, view: IntentView, failure: Failure): IntentStep => {
  if (view.now < state.request.deadlineAt) return schedule(state, 'poll', view.limits.pollMs);
  return closeRequest(state, { kind: 'fail', failure });
};

const handleStarted = (state: Fencing, view: IntentView): IntentStep => {
  if (state.purpose === 'replay') return replyFromChain(state, view);
  const message = 'the request is still running';
  const failure = createUnresolvedFailure(
    state.purpose,
    'deadline-exceeded',
    'key-in-flight',
    message,
  );
  return schedulePoll(state, view, failure);
};

const handleUnknownIncarnation = (state: Fencing, view: IntentView): IntentStep => {
  switch (state.purpose) {
    case 'replay':
      return replyFromChain(state, view);
    case 'own-refused':
      // The endpoint daemon replied not-run, and this request dispatches a nonce only once.
      return resumeChain(state, view);
    case 'own-unknown':
    case 'take-over': {
      const message = 'the endpoint incarnation that could have run the request has ended';
      const failure = createUnresolvedFailure(
        state.purpose,
        'endpoint-lost',
        'key-unresolved',
        message,
      );
      const outcome = { verdict: 'may-have-run', status: null, bodyDigest: null } as const;
      const effect = { kind: 'fail', failure } as const;
      return closeWithOutcome(state, state.placement.nonce, outcome, view, effect);
    }
    default:
      return assertNever(state.purpose);
  }
};

/**
 * One missing reply does not show that the answer is gone: the endpoint may be silent only for a
 * moment. The tries are bounded because it may also have ended.
 */
const retryReplay = (state: Fencing, view: IntentView): IntentStep => {
  const { limits, now } = view;
  const isLast = state.tries >= limits.maxReplayTries || now >= state.request.deadlineAt;
  return isLast ? replyFromChain(state, view) : schedule(state, 'poll', limits.pollMs);
};

const handleUnreachable = (state: Fencing, view: IntentView): IntentStep => {
  switch (state.purpose) {
    case 'replay':
      return retryReplay(state, view);
    case 'own-refused':
      return resumeChain(state, view);
    case 'own-unknown':
    case 'take-over': {
      const message = 'the endpoint that could have run the request does not answer';
      const failure = createUnresolvedFailure(
        state.purpose,
        'endpoint-lost',
        'key-unresolved',
        message,
      );
      return schedulePoll(state, view, failure);
    }
    default:
      return assertNever(state.purpose);
  }
};

/**
 * Decides the next step after the reply of an endpoint daemon to a fence request.
 *
 * @param state - state that waits for the reply
 * @param result - the reply, or `unreachable`
 * @param view - current view
 * @returns the next step
 */
export const decideFenceAnswer = (
  state: Fencing,
  result: FenceResult,
  view: IntentView,
): IntentStep => {
  switch (result.kind) {
    case 'fenced':
      return resumeChain(state, view);
    case 'started':
      return handleStarted(state, view);
    case 'finished':
      return replyFinished(state, result, view);
    case 'unknown-incarnation':
      return handleUnknownIncarnation(state, view);
    case 'unreachable':
      return handleUnreachable(state, view);
    default:
      return assertNever(result);
  }
};
