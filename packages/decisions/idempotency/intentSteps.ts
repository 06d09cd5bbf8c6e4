import { INTENT_FORMAT } from './constants.js';
import { checkKeyBinding } from './keys.js';
import type {
  AbandonedRecord,
  ChainLink,
  ChainRecord,
  FencePurpose,
  IntentEffect,
  IntentRecord,
  IntentState,
  IntentTimer,
  IntentView,
  Nonce,
  NoncePlacement,
  Outcome,
  OutcomeRecord,
  EndpointIncarnation,
} from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import { toStep } from '../../core/step.js';
import type { Step } from '../../core/step.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';

export type IntentStep = Step<IntentState, IntentEffect>;

/** State of a request in one phase. */
export type StateOf<Kind extends IntentState['kind']> = Extract<IntentState, { kind: Kind }>;

type Base = Omit<StateOf<'finished'>, 'kind'>;

/** Drops the fields that belong to one phase only. */
const toBase = ({
  request,
  unstartable,
  refusedBy,
  intents,
  round,
  lastFailure,
}: IntentState): Base => ({
  request,
  unstartable,
  refusedBy,
  intents,
  round,
  lastFailure,
});

const buildKeyRecordBase = (state: IntentState, view: IntentView) => ({
  format: INTENT_FORMAT,
  customer: state.request.customer,
  key: state.request.key,
  issuedAt: state.request.issuedAt,
  at: view.now,
});

const toAbandonedRecord = (
  state: IntentState,
  nonce: Nonce,
  view: IntentView,
): AbandonedRecord => ({
  kind: 'abandoned',
  ...buildKeyRecordBase(state, view),
  nonce,
});

const toOutcomeRecord = (
  state: IntentState,
  nonce: Nonce,
  outcome: Outcome,
  view: IntentView,
): OutcomeRecord => ({ kind: 'outcome', ...buildKeyRecordBase(state, view), nonce, ...outcome });

/**
 * Finishes a request without appending further records.
 *
 * @param state - state of the request
 * @param effects - reply to the caller, if any
 * @returns the finished state
 */
export const closeRequest = (state: IntentState, ...effects: readonly IntentEffect[]): IntentStep =>
  toStep({ ...toBase(state), kind: 'finished' }, ...effects);

/**
 * Schedules a timer. Its round number makes all earlier timers stale.
 *
 * @param state - state of the request
 * @param timer - purpose of the timer
 * @param delayMs - delay in milliseconds
 * @param effects - effects to carry out before the timer is scheduled
 * @returns the state with the new round
 */
export const schedule = (
  state: IntentState,
  timer: IntentTimer,
  delayMs: Millis,
  ...effects: readonly IntentEffect[]
): IntentStep => {
  const round = state.round + 1;
  return toStep({ ...state, round }, ...effects, { kind: 'schedule', timer, round, delayMs });
};

/**
 * Replies to the caller and then appends an idempotent record, which may safely be appended twice.
 *
 * @param state - state of the request
 * @param record - outcome or abandoned record
 * @param effects - reply to the caller, if any
 * @returns the recording state
 */
export const recordInBackground = (
  state: IntentState,
  record: ChainRecord,
  ...effects: readonly IntentEffect[]
): IntentStep =>
  toStep({ ...toBase(state), kind: 'recording', records: [record], tries: 1 }, ...effects, {
    kind: 'append-records',
    records: [record],
  });

/**
 * Replies to the caller with the result of a nonce, and records it unless the chain is closed.
 *
 * @param state - state of the request
 * @param nonce - nonce that the result belongs to
 * @param outcome - result to record
 * @param view - current view
 * @param effect - reply to the caller
 * @returns the recording or finished state
 */
export const closeWithOutcome = (
  state: IntentState,
  nonce: Nonce,
  outcome: Outcome,
  view: IntentView,
  effect: IntentEffect,
): IntentStep => {
  if (view.chain?.link?.standing.kind === 'closed') return closeRequest(state, effect);
  return recordInBackground(state, toOutcomeRecord(state, nonce, outcome, view), effect);
};

/**
 * Fails a request none of whose nonces can start any longer. When one of them is still the active
 * intent, an abandoned record releases the key for other requests.
 *
 * @param state - state of the request
 * @param failure - reason; its verdict is replaced by `not-run`
 * @param view - current view
 * @returns the recording or finished state
 */
export const failNotRun = (state: IntentState, failure: Failure, view: IntentView): IntentStep => {
  const effect: IntentEffect = { kind: 'fail', failure: { ...failure, verdict: 'not-run' } };
  const link = view.chain?.link;
  const blocked = link?.standing.kind === 'open' && state.unstartable.includes(link.nonce);
  if (!blocked) return closeRequest(state, effect);
  return recordInBackground(state, toAbandonedRecord(state, link.nonce, view), effect);
};

/**
 * Cancels an intent of this request that was not dispatched, and records that it never will be.
 *
 * @param state - state whose append is unresolved or not read back
 * @param view - current view
 * @param effects - reply to the caller, if any
 * @returns the recording state
 */
export const cancelIntent = (
  state: StateOf<'settling'>,
  view: IntentView,
  ...effects: readonly IntentEffect[]
): IntentStep =>
  recordInBackground(state, toAbandonedRecord(state, state.placement.nonce, view), ...effects);

/**
 * Requests an endpoint daemon to fence a nonce, or to report its progress when it was started.
 *
 * @param state - state of the request
 * @param noncePlacement - the nonce and the endpoint incarnation that could start it
 * @param purpose - why the nonce is fenced; it determines the handling of the reply
 * @param tries - number of requests for this purpose, including this one
 * @returns the fencing state
 */
export const fenceAtEndpoint = (
  state: IntentState,
  noncePlacement: NoncePlacement,
  purpose: FencePurpose,
  tries = 1,
): IntentStep =>
  toStep(
    {
      ...toBase(state),
      kind: 'fencing',
      round: state.round + 1,
      placement: noncePlacement,
      purpose,
      tries,
    },
    { kind: 'fence', ...noncePlacement },
  );

const toNoncePlacement = ({ nonce, endpoint, incarnation }: ChainLink): NoncePlacement => ({
  nonce,
  endpoint,
  incarnation,
});

/**
 * Waits until the intent of another request is `takeOverAfterMs` old, then fences its nonce to take
 * over the key.
 */
const waitForOtherIntent = (state: IntentState, link: ChainLink, view: IntentView): IntentStep => {
  if (view.log === 'out') {
    // A fence would stop the other request, and this one could not append an intent after it.
    const message = 'another request holds the key and the log does not answer';
    const failure = createFailure('may-have-run', 'key-unresolved', message);
    return closeRequest(state, { kind: 'fail', failure });
  }
  const { takeOverAfterMs } = view.limits;
  if (state.kind === 'waiting' && state.nonce === link.nonce) {
    if (view.now < state.until) return toStep(state);
    return fenceAtEndpoint(state, toNoncePlacement(link), 'take-over');
  }
  const delayMs = Math.min(takeOverAfterMs, link.at + takeOverAfterMs - view.now);
  if (delayMs <= 0) return fenceAtEndpoint(state, toNoncePlacement(link), 'take-over');
  const until = view.now + delayMs;
  return schedule({ ...toBase(state), kind: 'waiting', nonce: link.nonce, until }, 'wait', delayMs);
};

const chooseEndpoint = (state: IntentState, view: IntentView): IntentStep => {
  if (view.log === 'out' || view.standing !== 'exact') {
    const message = 'the log does not answer, so a request that runs at most once cannot start';
    return failNotRun(state, createFailure('not-run', 'log-unavailable', message), view);
  }
  if (state.intents >= view.limits.maxIntents) {
    const failure = createFailure('not-run', 'endpoint-failed', 'no endpoint started the request');
    return failNotRun(state, state.lastFailure ?? failure, view);
  }
  return toStep(
    { ...toBase(state), kind: 'choosing' },
    { kind: 'choose-endpoint', exclude: state.refusedBy },
  );
};

/** Reports whether a new intent may replace the active intent of the chain. */
const isReplaceable = (state: IntentState, link: ChainLink | null): boolean => {
  if (link === null) return true;
  switch (link.standing.kind) {
    case 'abandoned':
      return true;
    case 'open':
      return state.unstartable.includes(link.nonce);
    case 'closed':
      return false;
    default:
      return assertNever(link.standing);
  }
};

const decideClosed = (state: IntentState, link: ChainLink, outcome: Outcome): IntentStep => {
  switch (outcome.verdict) {
    case 'ran':
      return fenceAtEndpoint(state, toNoncePlacement(link), 'replay');
    case 'may-have-run': {
      const message = 'whether the request ran can no longer be determined';
      const failure = createFailure('may-have-run', 'key-unresolved', message);
      return closeRequest(state, { kind: 'fail', failure });
    }
    default:
      return assertNever(outcome.verdict);
  }
};

/**
 * Fails a request whose deadline passed before a nonce of its own was dispatched.
 *
 * @param state - state of the request
 * @param view - current view
 * @returns a step that fails with the verdict that follows from the chain
 */
const failDeadline = (state: IntentState, view: IntentView): IntentStep => {
  if (isReplaceable(state, view.chain?.link ?? null)) {
    const message = 'the deadline passed before the request was started';
    return failNotRun(state, createFailure('not-run', 'deadline-exceeded', message), view);
  }
  const failure = createFailure('may-have-run', 'key-in-flight', 'another request holds the key');
  return closeRequest(state, { kind: 'fail', failure });
};

/**
 * Decides the next step from the current chain when no nonce of this request can start any longer.
 *
 * @param state - state of the request
 * @param view - current view
 * @returns the next step
 */
export const resolveChain = (state: IntentState, view: IntentView): IntentStep => {
  const { chain } = view;
  const check = chain === undefined ? undefined : checkKeyBinding(state.request, chain);
  if (check?.isErr() === true) return closeRequest(state, { kind: 'fail', failure: check.error });
  const link = chain?.link ?? null;
  if (link?.standing.kind === 'closed') return decideClosed(state, link, link.standing);
  if (view.now >= state.request.deadlineAt) return failDeadline(state, view);
  if (link === null || isReplaceable(state, link)) return chooseEndpoint(state, view);
  return waitForOtherIntent(state, link, view);
};

/**
 * Appends an intent for the chosen endpoint, unless the chain changed in the meantime.
 *
 * @param state - state that waited for the endpoint
 * @param target - chosen endpoint and incarnation
 * @param nonce - new nonce
 * @param view - current view
 * @returns the settling state, or the step that the changed chain requires
 */
export const appendIntent = (
  state: StateOf<'choosing'>,
  target: EndpointIncarnation,
  nonce: Nonce,
  view: IntentView,
): IntentStep => {
  const link = view.chain?.link ?? null;
  const { request } = state;
  const usable = view.log === 'up' && view.standing === 'exact';
  if (!usable || !isReplaceable(state, link) || view.now >= request.deadlineAt) {
    return resolveChain(state, view);
  }
  const previous = link?.nonce ?? null;
  const record: IntentRecord = {
    kind: 'intent',
    ...buildKeyRecordBase(state, view),
    fingerprint: request.fingerprint,
    nonce,
    previous,
    endpoint: target.endpoint,
    incarnation: target.incarnation,
    entry: request.entry,
  };
  const next: IntentState = {
    ...toBase(state),
    kind: 'settling',
    intents: state.intents + 1,
    placement: { ...target, nonce },
    previous,
    append: { kind: 'pending' },
  };
  const delayMs = Math.min(view.limits.settleMs, request.deadlineAt - view.now);
  return schedule(next, 'settle', delayMs, { kind: 'append-records', records: [record] });
};
