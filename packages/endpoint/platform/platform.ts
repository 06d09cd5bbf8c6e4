import { LIST_POLL_MS } from './constants.js';
import { assertNever } from '../../core/assertNever.js';
import { toStep } from '../../core/step.js';
import type { Step } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';
import type { EndpointEffect, ListedEntry, PlatformEvent } from '../types.js';

/** Latest contents of the platform's instance list. */
export interface PlatformState {
  readonly entries: readonly ListedEntry[];
  /** Whether the last read of the list succeeded. */
  readonly list: 'up' | 'out';
  /** State of this instance in the list. */
  readonly self: 'live' | 'leaving' | 'absent';
}

type PlatformStep = Step<PlatformState, EndpointEffect>;

const NEXT_POLL: EndpointEffect = {
  kind: 'schedule',
  delayMs: LIST_POLL_MS,
  event: { to: 'platform', kind: 'poll' },
};

const applyList = (
  state: PlatformState,
  event: Extract<PlatformEvent, { readonly kind: 'list-received' }>,
): PlatformStep => {
  const next: PlatformState = { entries: event.entries, list: 'up', self: event.self };
  if (event.self !== 'leaving' || state.self === 'leaving') return toStep(next, NEXT_POLL);
  const reason = 'the instance list shows this instance as leaving';
  return toStep(next, NEXT_POLL, {
    kind: 'post',
    event: { to: 'rpc', kind: 'drain-started', reason },
  });
};

/**
 * Creates the decision logic of the `platform` child, which reads the instance list. Known entry
 * daemons are retained while the list is unavailable, since heartbeats show which of them are
 * running.
 *
 * @returns the child's logic
 */
export const createPlatformLogic = (): ChildLogic<
  PlatformState,
  PlatformEvent,
  EndpointEffect
> => ({
  init: () =>
    toStep<PlatformState, EndpointEffect>(
      { entries: [], list: 'out', self: 'absent' },
      { kind: 'fetch-list' },
    ),
  decide: (state, event) => {
    switch (event.kind) {
      case 'poll':
        return toStep(state, { kind: 'fetch-list' });
      case 'list-received':
        return applyList(state, event);
      case 'list-failed': {
        const logged: EndpointEffect = {
          kind: 'log',
          name: 'list-unavailable',
          details: { data: { reason: event.reason } },
        };
        const next = { ...state, list: 'out' } as const;
        return state.list === 'out' ? toStep(next, NEXT_POLL) : toStep(next, NEXT_POLL, logged);
      }
      default:
        return assertNever(event);
    }
  },
});
