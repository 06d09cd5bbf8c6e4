import { assertNever } from '../../../core/assertNever.js';
import { toStep } from '../../../core/step.js';
import type { Step } from '../../../core/step.js';
import type { ChildLogic } from '../../../core/supervision/types.js';
import type { EntryEffect, ListEvent } from '../../events.js';
import type { ListedInstance } from '../../types.js';
import { LIST_POLL_MS } from '../constants.js';

/** Instance list as it was last read from the platform. */
export interface ListState {
  readonly instances: readonly ListedInstance[];
  /** Result of the latest read, if there was one. */
  readonly list: 'unread' | 'up' | 'out';
  /** State of the instance of this process. */
  readonly self: 'live' | 'leaving' | 'absent';
}

type ListStep = Step<ListState, EntryEffect>;

const NEXT_POLL: EntryEffect = {
  kind: 'schedule',
  delayMs: LIST_POLL_MS,
  event: { to: 'list', kind: 'poll' },
};

const applyList = (
  state: ListState,
  instances: readonly ListedInstance[],
  instance: string,
): ListStep => {
  const self = instances.find(({ id }) => id === instance)?.state ?? 'absent';
  const next: ListState = { instances, list: 'up', self };
  const updated: EntryEffect = {
    kind: 'post',
    event: { to: 'membership', kind: 'list-updated', instances },
  };
  if (self !== 'leaving' || state.self === 'leaving') return toStep(next, NEXT_POLL, updated);
  const reason = 'the instance list shows this instance as leaving';
  return toStep(next, NEXT_POLL, updated, {
    kind: 'post',
    event: { to: 'frontend', kind: 'drain-started', reason },
  });
};

/**
 * Creates the decision logic of the `list` child, which polls the instance list.
 *
 * @param instance - id of the instance of this process
 * @returns the child's logic
 */
export const createListLogic = (
  instance: string,
): ChildLogic<ListState, ListEvent, EntryEffect> => ({
  init: () =>
    toStep<ListState, EntryEffect>(
      { instances: [], list: 'unread', self: 'absent' },
      { kind: 'fetch-list' },
    ),
  decide: (state, event): ListStep => {
    switch (event.kind) {
      case 'poll':
        return toStep(state, { kind: 'fetch-list' });
      case 'list-received':
        return applyList(state, event.instances, instance);
      case 'list-failed': {
        if (state.list === 'out') return toStep(state, NEXT_POLL);
        const next: ListState = { ...state, list: 'out' };
        return toStep(next, NEXT_POLL, {
          kind: 'log',
          name: 'list-unavailable',
          details: { data: { reason: event.reason } },
        });
      }
      default:
        return assertNever(event);
    }
  },
});
