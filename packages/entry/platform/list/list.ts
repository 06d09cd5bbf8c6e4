import { assertNever } from '../../../core/assertNever.js';
import { toStep } from '../../../core/step.js';
import type { Step } from '../../../core/step.js';
import type { ChildLogic } from '../../../core/supervision/types.js';
import type { EntryEffect, ListEvent } from '../../events.js';
import type { ListedInstance } from '../../types.js';
import { LIST_POLL_MS } from '../constants.js';

/** What the platform's instance list says. */
export interface ListState {
  readonly instances: readonly ListedInstance[];
  readonly list: 'unread' | 'up' | 'out';
  readonly self: 'live' | 'leaving' | 'absent';
}

type ListStep = Step<ListState, EntryEffect>;

const AGAIN: EntryEffect = {
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
  if (self !== 'leaving' || state.self === 'leaving') return toStep(next, AGAIN, updated);
  const reason = 'the instance list shows this instance as leaving';
  return toStep(next, AGAIN, updated, {
    kind: 'post',
    event: { to: 'frontend', kind: 'drain-started', reason },
  });
};

/**
 * Creates the decisions of the `list` child.
 *
 * @param instance - instance of this process
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
        if (state.list === 'out') return toStep(state, AGAIN);
        const next: ListState = { ...state, list: 'out' };
        return toStep(next, AGAIN, {
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
