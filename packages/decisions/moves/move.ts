import {
  APPEND_AGAIN_MS,
  CANARY_SHARE,
  LAST_SHARE_OF_TIME,
  MOVED_OLD_SHARE,
  OPERATOR_SHARE_OF_TIME,
  SOAK_MS,
  SOAK_SHARE_OF_TIME,
} from './constants.js';
import { addEvidence, collectRoutes, initEvidence, observeEvidence } from './evidence.js';
import { decideShare } from './share.js';
import type {
  Evidence,
  FaultFinding,
  Move,
  MoveEffect,
  MoveEvent,
  MoveOutcome,
  MoveState,
  ShareDecision,
} from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import { toStep } from '../../core/step.js';
import type { Step } from '../../core/step.js';

type MoveStep = Step<MoveState, MoveEffect>;

/** State while a move is watched. */
type WatchedState = MoveState & { readonly move: Move };

const NO_ROUTES: ReadonlyMap<string, number> = new Map();

/**
 * Creates the state of an entry daemon without a move.
 *
 * @returns an idle state
 */
export const initMove = (): MoveState => ({
  phase: 'idle',
  move: null,
  evidence: initEvidence(0),
  routes: NO_ROUTES,
  fullSince: null,
  askedAt: 0,
  operator: 'not-asked',
});

/**
 * Tells the share of the new version for a request on a route.
 *
 * @param state - move
 * @param route - route of the request
 * @returns the share, from 0 to 1
 */
export const getShare = (state: MoveState, route: string): number => {
  switch (state.phase) {
    case 'idle':
    case 'stopping':
    case 'taken-back':
      return 0;
    case 'moving':
    case 'finishing':
      return state.routes.get(route) ?? CANARY_SHARE;
    case 'done':
      return 1;
    default:
      return assertNever(state.phase);
  }
};

const isWatched = (state: MoveState): state is WatchedState => state.move !== null;

const startMove = (state: MoveState, move: Move, now: Millis): MoveStep => {
  if (state.move?.name === move.name) return toStep(state);
  return toStep({ ...initMove(), phase: 'moving', move, evidence: initEvidence(now) });
};

/** The first terminal record in log order is final; the log delivers records in order. */
const finishMove = (state: MoveState, name: string, outcome: MoveOutcome): MoveStep => {
  const isFinal = state.phase === 'done' || state.phase === 'taken-back';
  if (state.move?.name !== name || isFinal) return toStep(state);
  const isOverruled = state.phase === 'stopping' && outcome === 'done';
  const calls: readonly MoveEffect[] = isOverruled
    ? [{ kind: 'needs-operator', name, reason: 'faults-after-done' }]
    : [];
  const ended = { ...state, phase: outcome, evidence: initEvidence(0), routes: NO_ROUTES };
  return toStep<MoveState, MoveEffect>(ended, { kind: 'ended', name, outcome }, ...calls);
};

const appendEnded = (state: WatchedState, outcome: MoveOutcome, now: Millis): MoveStep =>
  toStep<MoveState, MoveEffect>(
    { ...state, askedAt: now },
    { kind: 'append-ended', name: state.move.name, outcome },
  );

const stopLocally = (state: WatchedState, finding: FaultFinding | null, now: Millis): MoveStep => {
  const stopping: WatchedState = { ...state, phase: 'stopping', routes: NO_ROUTES };
  const step = appendEnded(stopping, 'taken-back', now);
  const stops: readonly MoveEffect[] =
    finding === null ? [] : [{ kind: 'stopped', name: state.move.name, finding }];
  return toStep(
    step.state,
    { kind: 'shares-changed', routes: NO_ROUTES },
    ...stops,
    ...step.effects,
  );
};

type Shares = Extract<ShareDecision, { readonly kind: 'shares' }>;

const isSame = (left: ReadonlyMap<string, number>, right: ReadonlyMap<string, number>): boolean =>
  left.size === right.size && [...left].every(([route, share]) => right.get(route) === share);

const isTrafficMoved = (evidence: Evidence): boolean =>
  [...collectRoutes(evidence).values()].every(
    ({ recentOld, recentNew }) => recentOld <= MOVED_OLD_SHARE * (recentOld + recentNew),
  );

/** A late fault is caught only while the move is open, so it stays open as long as it may. */
const isSoaked = ({ move, fullSince }: WatchedState, now: Millis): boolean => {
  if (fullSince === null || now - fullSince < SOAK_MS) return false;
  const duration = move.deadline - move.startedAt;
  const isLate = now >= move.deadline - duration * LAST_SHARE_OF_TIME;
  return isLate || now - fullSince >= duration * SOAK_SHARE_OF_TIME;
};

const isDone = (state: WatchedState, shares: Shares, now: Millis): boolean =>
  isSoaked(state, now) && shares.doubt === 'none' && isTrafficMoved(state.evidence);

const checkDeadline = (state: WatchedState, shares: Shares, now: Millis): MoveStep => {
  const { move } = state;
  const callAt = move.deadline - (move.deadline - move.startedAt) * OPERATOR_SHARE_OF_TIME;
  if (now < callAt || state.operator === 'asked' || shares.progress === 'full') {
    return toStep(state);
  }
  const reason = shares.doubt === 'some' ? 'unclear-evidence' : 'too-little-evidence';
  return toStep<MoveState, MoveEffect>(
    { ...state, operator: 'asked' },
    { kind: 'needs-operator', name: move.name, reason },
  );
};

const applyShares = (state: WatchedState, shares: Shares, now: Millis): MoveStep => {
  const fullSince = shares.progress === 'full' ? (state.fullSince ?? now) : null;
  const next: WatchedState = { ...state, routes: shares.routes, fullSince };
  const changes: readonly MoveEffect[] = isSame(state.routes, shares.routes)
    ? []
    : [{ kind: 'shares-changed', routes: shares.routes }];
  const isFinished = isDone(next, shares, now);
  const last = isFinished
    ? appendEnded({ ...next, phase: 'finishing' }, 'done', now)
    : checkDeadline({ ...next, phase: 'moving' }, shares, now);
  return toStep(last.state, ...changes, ...last.effects);
};

const updateShares = (state: WatchedState, now: Millis): MoveStep => {
  const evidence = observeEvidence(state.evidence, state.move, now);
  const looked: WatchedState = { ...state, evidence };
  const decision = decideShare(state.move, evidence, now);
  switch (decision.kind) {
    case 'stop':
      return stopLocally(looked, decision.finding, now);
    case 'shares':
      return applyShares(looked, decision, now);
    default:
      return assertNever(decision);
  }
};

const handleTick = (state: MoveState, now: Millis): MoveStep => {
  if (!isWatched(state)) return toStep(state);
  const isAppendDue = now - state.askedAt >= APPEND_AGAIN_MS;
  switch (state.phase) {
    case 'moving':
      return updateShares(state, now);
    case 'finishing': {
      // A fault that shows before the record is read back still takes the version back.
      const step = updateShares(state, now);
      const isWaiting = step.state.phase === 'finishing' && !isAppendDue;
      const effects = step.effects.filter((effect) => effect.kind !== 'append-ended');
      return isWaiting ? toStep({ ...step.state, askedAt: state.askedAt }, ...effects) : step;
    }
    case 'stopping':
      return isAppendDue ? appendEnded(state, 'taken-back', now) : toStep(state);
    case 'idle':
    case 'done':
    case 'taken-back':
      return toStep(state);
    default:
      return assertNever(state.phase);
  }
};

const takeEvidence = (
  state: MoveState,
  event: Extract<MoveEvent, { readonly kind: 'evidence' }>,
): MoveStep => {
  if (!isWatched(state)) return toStep(state);
  const isOpen = state.phase === 'moving' || state.phase === 'finishing';
  if (!isOpen) return toStep(state);
  const evidence = addEvidence(state.evidence, state.move, event.report, event.now);
  return toStep({ ...state, evidence });
};

/**
 * Decides one event of a version move at an entry daemon.
 *
 * @param state - move before the event; the tables of its evidence are updated in place
 * @param event - record of the log, evidence, order of an operator or tick
 * @returns the next state, and shares to apply or records to append
 */
export const decideMove = (state: MoveState, event: MoveEvent): MoveStep => {
  switch (event.kind) {
    case 'move-record':
      return startMove(state, event.move, event.now);
    case 'ended-record':
      return finishMove(state, event.name, event.outcome);
    case 'evidence':
      return takeEvidence(state, event);
    case 'take-back-order': {
      const isOpen = state.phase === 'moving' || state.phase === 'finishing';
      return isWatched(state) && isOpen ? stopLocally(state, null, event.now) : toStep(state);
    }
    case 'tick':
      return handleTick(state, event.now);
    default:
      return assertNever(event);
  }
};
