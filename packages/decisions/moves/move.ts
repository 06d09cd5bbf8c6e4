import {
  APPEND_RETRY_MS,
  CANARY_SHARE,
  ESCALATION_TIME_FRACTION,
  FINAL_TIME_FRACTION,
  MIN_SOAK_MS,
  MOVED_MAX_OLD_SHARE,
  SOAK_TIME_FRACTION,
} from './constants.js';
import { addEvidence, collectRouteEvidence, compareVersions, initEvidence } from './evidence.js';
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

/** State of a daemon that tracks a move. */
type StateWithMove = MoveState & { readonly move: Move };

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
  terminalAppendAt: 0,
  operator: 'not-called',
});

/**
 * Returns the share of requests on a route that go to the new version.
 *
 * @param state - state of the move
 * @param route - route of the request
 * @returns the share, from 0 to 1
 */
export const getNewVersionShare = (state: MoveState, route: string): number => {
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

const hasMove = (state: MoveState): state is StateWithMove => state.move !== null;

const startMove = (state: MoveState, move: Move, now: Millis): MoveStep => {
  if (state.move?.name === move.name) return toStep(state);
  return toStep({ ...initMove(), phase: 'moving', move, evidence: initEvidence(now) });
};

/** The log delivers records in order, and the first terminal record is final. */
const applyTerminalRecord = (state: MoveState, name: string, outcome: MoveOutcome): MoveStep => {
  const isFinal = state.phase === 'done' || state.phase === 'taken-back';
  if (state.move?.name !== name || isFinal) return toStep(state);
  const isOverruled = state.phase === 'stopping' && outcome === 'done';
  const escalations: readonly MoveEffect[] = isOverruled
    ? [{ kind: 'needs-operator', name, reason: 'faults-after-done' }]
    : [];
  const ended = { ...state, phase: outcome, evidence: initEvidence(0), routes: NO_ROUTES };
  return toStep<MoveState, MoveEffect>(ended, { kind: 'ended', name, outcome }, ...escalations);
};

const appendTerminalRecord = (state: StateWithMove, outcome: MoveOutcome, now: Millis): MoveStep =>
  toStep<MoveState, MoveEffect>(
    { ...state, terminalAppendAt: now },
    { kind: 'append-ended', name: state.move.name, outcome },
  );

const stopLocally = (state: StateWithMove, finding: FaultFinding | null, now: Millis): MoveStep => {
  const stopping: StateWithMove = { ...state, phase: 'stopping', routes: NO_ROUTES };
  const step = appendTerminalRecord(stopping, 'taken-back', now);
  const stopEffects: readonly MoveEffect[] =
    finding === null ? [] : [{ kind: 'stopped', name: state.move.name, finding }];
  return toStep(
    step.state,
    { kind: 'shares-changed', routes: NO_ROUTES },
    ...stopEffects,
    ...step.effects,
  );
};

type Shares = Extract<ShareDecision, { readonly kind: 'shares' }>;

const hasSameShares = (
  left: ReadonlyMap<string, number>,
  right: ReadonlyMap<string, number>,
): boolean =>
  left.size === right.size && [...left].every(([route, share]) => right.get(route) === share);

/** Checks that the old version answers hardly any recent requests on each route. */
const isTrafficMoved = (evidence: Evidence): boolean =>
  [...collectRouteEvidence(evidence).values()].every(
    ({ recentOld, recentNew }) => recentOld <= MOVED_MAX_OLD_SHARE * (recentOld + recentNew),
  );

/**
 * Reports whether the move was at full share for long enough. A late fault is detected only while
 * the move is open, so the soak is cut short only near the deadline.
 */
const isSoaked = ({ move, fullSince }: StateWithMove, now: Millis): boolean => {
  if (fullSince === null || now - fullSince < MIN_SOAK_MS) return false;
  const duration = move.deadline - move.startedAt;
  const isLate = now >= move.deadline - duration * FINAL_TIME_FRACTION;
  return isLate || now - fullSince >= duration * SOAK_TIME_FRACTION;
};

const isDone = (state: StateWithMove, shares: Shares, now: Millis): boolean =>
  isSoaked(state, now) && shares.suspicion === 'none' && isTrafficMoved(state.evidence);

const checkEscalation = (state: StateWithMove, shares: Shares, now: Millis): MoveStep => {
  const { move } = state;
  const escalateAt = move.deadline - (move.deadline - move.startedAt) * ESCALATION_TIME_FRACTION;
  if (now < escalateAt || state.operator === 'called' || shares.progress === 'full') {
    return toStep(state);
  }
  const reason = shares.suspicion === 'some' ? 'unclear-evidence' : 'too-little-evidence';
  return toStep<MoveState, MoveEffect>(
    { ...state, operator: 'called' },
    { kind: 'needs-operator', name: move.name, reason },
  );
};

const applyShares = (state: StateWithMove, shares: Shares, now: Millis): MoveStep => {
  const fullSince = shares.progress === 'full' ? (state.fullSince ?? now) : null;
  const next: StateWithMove = { ...state, routes: shares.routes, fullSince };
  const changes: readonly MoveEffect[] = hasSameShares(state.routes, shares.routes)
    ? []
    : [{ kind: 'shares-changed', routes: shares.routes }];
  const isFinished = isDone(next, shares, now);
  const nextStep = isFinished
    ? appendTerminalRecord({ ...next, phase: 'finishing' }, 'done', now)
    : checkEscalation({ ...next, phase: 'moving' }, shares, now);
  return toStep(nextStep.state, ...changes, ...nextStep.effects);
};

const updateShares = (state: StateWithMove, now: Millis): MoveStep => {
  const evidence = compareVersions(state.evidence, state.move, now);
  const evaluated: StateWithMove = { ...state, evidence };
  const decision = decideShare(state.move, evidence, now);
  switch (decision.kind) {
    case 'stop':
      return stopLocally(evaluated, decision.finding, now);
    case 'shares':
      return applyShares(evaluated, decision, now);
    default:
      return assertNever(decision);
  }
};

const handleTick = (state: MoveState, now: Millis): MoveStep => {
  if (!hasMove(state)) return toStep(state);
  const isAppendDue = now - state.terminalAppendAt >= APPEND_RETRY_MS;
  switch (state.phase) {
    case 'moving':
      return updateShares(state, now);
    case 'finishing': {
      // A fault found before the record is read back still rolls the move back.
      const step = updateShares(state, now);
      const isWaiting = step.state.phase === 'finishing' && !isAppendDue;
      const effects = step.effects.filter((effect) => effect.kind !== 'append-ended');
      return isWaiting
        ? toStep({ ...step.state, terminalAppendAt: state.terminalAppendAt }, ...effects)
        : step;
    }
    case 'stopping':
      return isAppendDue ? appendTerminalRecord(state, 'taken-back', now) : toStep(state);
    case 'idle':
    case 'done':
    case 'taken-back':
      return toStep(state);
    default:
      return assertNever(state.phase);
  }
};

const handleEvidence = (
  state: MoveState,
  event: Extract<MoveEvent, { readonly kind: 'evidence' }>,
): MoveStep => {
  if (!hasMove(state)) return toStep(state);
  const isOpen = state.phase === 'moving' || state.phase === 'finishing';
  if (!isOpen) return toStep(state);
  const evidence = addEvidence(state.evidence, state.move, event.report, event.now);
  return toStep({ ...state, evidence });
};

/**
 * Decides one event of a version move at an entry daemon.
 *
 * @param state - state before the event; the maps of its evidence are updated in place
 * @param event - record of the log, evidence, operator's order or tick
 * @returns the next state, with shares to apply, records to append and notifications
 */
export const decideMove = (state: MoveState, event: MoveEvent): MoveStep => {
  switch (event.kind) {
    case 'move-record':
      return startMove(state, event.move, event.now);
    case 'ended-record':
      return applyTerminalRecord(state, event.name, event.outcome);
    case 'evidence':
      return handleEvidence(state, event);
    case 'rollback-order': {
      const isOpen = state.phase === 'moving' || state.phase === 'finishing';
      return hasMove(state) && isOpen ? stopLocally(state, null, event.now) : toStep(state);
    }
    case 'tick':
      return handleTick(state, event.now);
    default:
      return assertNever(event);
  }
};
