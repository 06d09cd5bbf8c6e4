import { TICK_MS } from './constants.js';
import { buildNoticeEffects, toNoticeEvent } from './moveNotices.js';
import type { NoticeInputs } from './moveNotices.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import type { ModelName, RequestId } from '../../core/ids.js';
import { toStep } from '../../core/step.js';
import type { Step } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';
import type { MoveView } from '../../decisions/configuration/types.js';
import { decideMove, getNewVersionShare, initMove } from '../../decisions/moves/move.js';
import { decideNotice } from '../../decisions/moves/notices.js';
import type { NoticeEvent, NoticeState } from '../../decisions/moves/noticeTypes.js';
import { chooseVersion } from '../../decisions/moves/share.js';
import type {
  FaultFinding,
  MoveEffect,
  MoveEvent,
  MoveState,
} from '../../decisions/moves/types.js';
import type { EntryEffect, MovesEvent } from '../events.js';
import type { ReceivedHeartbeat, VersionChoice } from '../types.js';

/** Move in the configuration together with the state of its decisions. */
export interface WatchedMove {
  readonly view: MoveView;
  readonly state: MoveState;
  /** Why the move was stopped or needs an operator; empty otherwise. */
  readonly reason: string;
}

/** Version moves by name, and notices of moves that have ended. */
export interface MovesState {
  readonly moves: ReadonlyMap<string, WatchedMove>;
  readonly notices: NoticeState;
}

/** Dependencies of the decisions on moves. */
export interface MovesInputs extends NoticeInputs {
  readonly listMoves: () => readonly MoveView[];
}

type MovesStep = Step<MovesState, EntryEffect>;

/**
 * Route of all generations. Shares are decided per route, because a fault on one route of a service
 * does not show in the evidence of the others.
 */
export const CHAT_ROUTE = 'chat';

const describeFinding = (finding: FaultFinding): string => {
  const scope =
    finding.cell === null
      ? 'over all classes and routes'
      : `class ${finding.cell.className}, data centre ${finding.cell.dataCentre}, route ${finding.cell.route}`;
  return `${finding.metric} answers of the new version, ${scope}`;
};

const buildOperatorNotice = (
  event: 'move-needs-operator' | 'move-stopped-locally',
  view: MoveView,
  detail: string,
  now: Millis,
): readonly EntryEffect[] => {
  const { name: entity, offset } = view;
  // Each daemon collects its own evidence and may send this notice. All use the same id, so that
  // the receiver can drop duplicates.
  const id = `${event}/${entity}/${offset.toString()}`;
  return [
    { kind: 'log', name: event, details: { entity, data: { reason: detail } } },
    { kind: 'notify-operators', notice: { id, event, entity, at: now, detail }, report: 'none' },
  ];
};

const buildEndRecordAppend = (
  move: WatchedMove,
  effect: Extract<MoveEffect, { readonly kind: 'append-ended' }>,
  inputs: MovesInputs,
): EntryEffect => ({
  kind: 'post',
  event: {
    to: 'appends',
    kind: 'append-requested',
    stream: 'control',
    record: {
      kind: 'move-ended',
      format: 1,
      entity: effect.name,
      basedOn: move.view.offset,
      body: { outcome: effect.outcome, reason: move.reason },
      author: inputs.process,
      nonce: inputs.createId(),
    },
    owner: { kind: 'own-record' },
  },
});

const toEntryEffects = (
  move: WatchedMove,
  effect: MoveEffect,
  inputs: MovesInputs,
): readonly EntryEffect[] => {
  const now = inputs.now();
  const { name } = move.view;
  switch (effect.kind) {
    case 'shares-changed': {
      const shares = [...effect.routes].map(([route, share]) => `${route}=${share.toString()}`);
      const share = getNewVersionShare(move.state, CHAT_ROUTE);
      const details = { entity: name, data: { shares, share } };
      return [{ kind: 'log', name: 'move-share-changed', details }];
    }
    case 'append-ended':
      return [buildEndRecordAppend(move, effect, inputs)];
    case 'stopped':
      return buildOperatorNotice(
        'move-stopped-locally',
        move.view,
        describeFinding(effect.finding),
        now,
      );
    case 'needs-operator':
      return buildOperatorNotice('move-needs-operator', move.view, effect.reason, now);
    case 'ended': {
      const event = effect.outcome === 'done' ? 'move-done' : 'move-taken-back';
      const reason = move.view.ended?.reason ?? '';
      return [{ kind: 'log', name: event, details: { entity: name, data: { reason } } }];
    }
    default:
      return assertNever(effect);
  }
};

const updateReason = (reason: string, effects: readonly MoveEffect[]): string =>
  effects.reduce((known, effect) => {
    if (effect.kind === 'stopped') return describeFinding(effect.finding);
    return effect.kind === 'needs-operator' ? effect.reason : known;
  }, reason);

const applyMove = (
  state: MovesState,
  move: WatchedMove,
  event: MoveEvent,
  inputs: MovesInputs,
): MovesStep => {
  const step = decideMove(move.state, event);
  const reason = updateReason(move.reason, step.effects);
  const next: WatchedMove = { ...move, state: step.state, reason };
  const effects = step.effects.flatMap((effect) => toEntryEffects(next, effect, inputs));
  const moves = new Map(state.moves).set(move.view.name, next);
  return toStep({ ...state, moves }, ...effects);
};

const applyToAllMoves = (
  state: MovesState,
  select: (move: WatchedMove) => MoveEvent | null,
  inputs: MovesInputs,
): MovesStep => {
  let step: MovesStep = toStep(state);
  for (const move of state.moves.values()) {
    const event = select(move);
    if (event === null) continue;
    const next = applyMove(step.state, move, event, inputs);
    step = { state: next.state, effects: [...step.effects, ...next.effects] };
  }
  return step;
};

/** Adds a move or updates a known one. A new offset means that the move was started again. */
const registerMove = (state: MovesState, view: MoveView, inputs: MovesInputs): MovesStep => {
  const known = state.moves.get(view.name);
  const now = inputs.now();
  if (known?.view.offset === view.offset) {
    const moves = new Map(state.moves).set(view.name, { ...known, view });
    return toStep({ ...state, moves });
  }
  const { name, model, from, to, startedAt, deadline } = view;
  const move = { name, model, from, to, startedAt, deadline };
  const details = { entity: name, data: { model, from, to, deadline } };
  const started: EntryEffect = { kind: 'log', name: 'move-started', details };
  const watched: WatchedMove = { view, state: initMove(), reason: '' };
  const step = applyMove(state, watched, { kind: 'move-record', move, now }, inputs);
  return toStep(step.state, started, ...step.effects);
};

const applyNotice = (state: MovesState, event: NoticeEvent, inputs: MovesInputs): MovesStep => {
  const step = decideNotice(state.notices, event);
  const effects = step.effects.flatMap((effect) => buildNoticeEffects(effect, inputs));
  return toStep({ ...state, notices: step.state }, ...effects);
};

/**
 * Returns the role of this process in the notice of an ended move. After a restart, the process
 * reads terminal records that its earlier incarnation appended and whose notices may already be
 * sent, so it is the author only if this incarnation knew the move before its end.
 */
const toNoticeRole = (known: WatchedMove | undefined, view: MoveView, process: string) =>
  known?.view.offset === view.offset && known.view.ended === null && view.ended?.author === process
    ? 'author'
    : 'other';

const updateNotices = (before: MovesState, state: MovesState, inputs: MovesInputs): MovesStep => {
  let step: MovesStep = toStep(state);
  for (const view of inputs.listMoves()) {
    const role = toNoticeRole(before.moves.get(view.name), view, inputs.process);
    const event = toNoticeEvent(view, role, inputs);
    if (event === null) continue;
    const next = applyNotice(step.state, event, inputs);
    step = { state: next.state, effects: [...step.effects, ...next.effects] };
  }
  return step;
};

/** Makes this daemon the sender of the notice for an end that an operator posted through it. */
const handleEndAccepted = (state: MovesState, name: string, inputs: MovesInputs): MovesStep => {
  const view = inputs.listMoves().find((move) => move.name === name);
  const event = view === undefined ? null : toNoticeEvent(view, 'author', inputs);
  return event === null ? toStep(state) : applyNotice(state, event, inputs);
};

const applyConfiguration = (state: MovesState, inputs: MovesInputs): MovesStep => {
  let step: MovesStep = toStep(state);
  for (const view of inputs.listMoves()) {
    const next = registerMove(step.state, view, inputs);
    step = { state: next.state, effects: [...step.effects, ...next.effects] };
  }
  const ended = applyToAllMoves(
    step.state,
    ({ view }) =>
      view.ended === null
        ? null
        : {
            kind: 'ended-record',
            name: view.name,
            outcome: view.ended.outcome,
            offset: view.ended.offset,
          },
    inputs,
  );
  const noticed = updateNotices(state, ended.state, inputs);
  return {
    state: noticed.state,
    effects: [...step.effects, ...ended.effects, ...noticed.effects],
  };
};

const applyEvidence = (
  state: MovesState,
  heartbeat: ReceivedHeartbeat,
  inputs: MovesInputs,
): MovesStep => {
  const { endpoint, incarnation, dataCentre, version, evidence } = heartbeat;
  const report = { endpoint, incarnation, dataCentre, version, counts: evidence };
  const now = inputs.now();
  return applyToAllMoves(
    state,
    ({ view }) =>
      view.ended === null && view.model === heartbeat.model
        ? { kind: 'evidence', report, now }
        : null,
    inputs,
  );
};

/**
 * Chooses the version of a model for a request according to the newest move of the model.
 *
 * @param state - state of the `moves` child
 * @param model - model of the request
 * @param requestId - id of the request, whose hash selects the old or the new version
 * @param hash - hashes a string to an unsigned 32-bit integer
 * @returns the version, or null when the model has no move
 */
export const chooseMoveVersion = (
  state: MovesState,
  model: ModelName,
  requestId: RequestId,
  hash: (text: string) => number,
): VersionChoice | null => {
  let newest: WatchedMove | undefined;
  for (const move of state.moves.values()) {
    if (move.view.model !== model) continue;
    if (newest === undefined || move.view.offset > newest.view.offset) newest = move;
  }
  if (newest === undefined) return null;
  const side = chooseVersion(getNewVersionShare(newest.state, CHAT_ROUTE), hash(requestId));
  const { from, to } = newest.view;
  // A fallback from the old to the new version would give the new one more than its share.
  return side === 'new' ? { version: to, fallback: from } : { version: from, fallback: null };
};

/**
 * Creates the decision logic of the `moves` child, which evaluates the moves of the configuration
 * by the evidence in heartbeats.
 *
 * @param inputs - clock, identity, webhook and moves of the configuration
 * @returns the child's logic
 */
export const createMovesLogic = (
  inputs: MovesInputs,
): ChildLogic<MovesState, MovesEvent, EntryEffect> => ({
  init: () =>
    toStep<MovesState, EntryEffect>(
      { moves: new Map(), notices: new Map() },
      { kind: 'post', event: { to: 'moves', kind: 'configuration-updated' } },
      { kind: 'schedule', delayMs: TICK_MS, event: { to: 'moves', kind: 'tick' } },
    ),
  decide: (state, event) => {
    switch (event.kind) {
      case 'configuration-updated':
        return applyConfiguration(state, inputs);
      case 'evidence-received':
        return applyEvidence(state, event.heartbeat, inputs);
      case 'end-accepted':
        return handleEndAccepted(state, event.name, inputs);
      case 'notice-ended': {
        const { id, result } = event;
        return applyNotice(state, { kind: result, id, now: inputs.now() }, inputs);
      }
      case 'tick': {
        const now = inputs.now();
        const step = applyToAllMoves(state, () => ({ kind: 'tick', now }), inputs);
        const noticed = applyNotice(step.state, { kind: 'tick', now }, inputs);
        const nextTick: EntryEffect = { kind: 'schedule', delayMs: TICK_MS, event };
        return toStep(noticed.state, ...step.effects, ...noticed.effects, nextTick);
      }
      default:
        return assertNever(event);
    }
  },
});
