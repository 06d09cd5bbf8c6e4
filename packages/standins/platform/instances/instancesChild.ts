import type { ReplyId } from '../../common/pendingRequests.js';
import { LIST_HISTORY_MS } from '../constants.js';
import type {
  FaultsEvent,
  Instance,
  InstancesEvent,
  ListMode,
  PlatformEffect,
  PlatformFaults,
} from '../types.js';
import { assertNever } from '../../../core/assertNever.js';
import type { Clock, Millis } from '../../../core/clock.js';
import type { Step } from '../../../core/step.js';
import { toStep } from '../../../core/step.js';
import type { ChildLogic } from '../../../core/supervision/types.js';

/** Instance list as it was from `at` until the next version. */
interface ListVersion {
  readonly at: Millis;
  readonly instances: readonly Instance[];
}

/** Instance list with the old versions that callers still see because of the lag. */
export interface InstancesState {
  readonly mode: ListMode;
  readonly lagMs: Millis;
  /** Versions of the list, oldest first, back to `LIST_HISTORY_MS` ago. */
  readonly versions: readonly ListVersion[];
}

type InstancesStep = Step<InstancesState, PlatformEffect>;

const getNewestInstances = (state: InstancesState): readonly Instance[] =>
  state.versions.at(-1)?.instances ?? [];

const replyJson = (reply: ReplyId, status: number, body: unknown): PlatformEffect => ({
  kind: 'answer',
  reply,
  answer: { status, body },
});

const pushVersion = (
  state: InstancesState,
  instances: readonly Instance[],
  now: Millis,
): InstancesState => {
  const firstNeeded = state.versions.findLastIndex(({ at }) => at <= now - LIST_HISTORY_MS);
  return {
    ...state,
    versions: [...state.versions.slice(Math.max(0, firstNeeded)), { at: now, instances }],
  };
};

/**
 * Finds the version of the list that was current `lagMs` ago.
 *
 * @param state - list with its old versions
 * @param now - current instant
 * @returns the instances that callers see
 */
export const findVisibleInstances = (state: InstancesState, now: Millis): readonly Instance[] =>
  state.versions.findLast(({ at }) => at <= now - state.lagMs)?.instances ?? [];

const replyList = (state: InstancesState, reply: ReplyId, now: Millis): InstancesStep => {
  if (state.mode === 'down') {
    return toStep(state, replyJson(reply, 503, { error: 'the instance list is unavailable' }));
  }
  return toStep(state, replyJson(reply, 200, { instances: findVisibleInstances(state, now) }));
};

const writeInstance = (state: InstancesState, instance: Instance, now: Millis): InstancesState => {
  const others = getNewestInstances(state).filter(({ id }) => id !== instance.id);
  return pushVersion(state, [...others, instance], now);
};

const applyFaults = (state: InstancesState, faults: PlatformFaults): InstancesState => ({
  ...state,
  mode: faults.list ?? state.mode,
  lagMs: faults.listLagMs ?? state.lagMs,
});

/**
 * Decides one event of the instance list.
 *
 * @param state - state of the list before the event
 * @param event - request or fault
 * @param now - current instant
 * @returns the next state and the effects
 */
export const decideInstances = (
  state: InstancesState,
  event: InstancesEvent | FaultsEvent,
  now: Millis,
): InstancesStep => {
  switch (event.kind) {
    case 'list-instances':
      return replyList(state, event.reply, now);
    case 'put-instance': {
      const next = writeInstance(state, event.instance, now);
      return toStep(next, replyJson(event.reply, 200, event.instance));
    }
    case 'delete-instance': {
      const remaining = getNewestInstances(state).filter(({ id }) => id !== event.id);
      return toStep(
        pushVersion(state, remaining, now),
        replyJson(event.reply, 200, { id: event.id }),
      );
    }
    case 'set-faults':
      return toStep(applyFaults(state, event.faults));
    default:
      return assertNever(event);
  }
};

/**
 * Creates the child that owns the instance list.
 *
 * @param lagMs - age of the list that callers see
 * @param clock - clock of changes and reads
 * @returns the decisions of the child
 */
export const createInstancesChild = (
  lagMs: Millis,
  clock: Clock,
): ChildLogic<InstancesState, InstancesEvent | FaultsEvent, PlatformEffect> => ({
  init: () => toStep({ mode: 'up', lagMs, versions: [] }),
  decide: (state, event) => decideInstances(state, event, clock.now()),
});
