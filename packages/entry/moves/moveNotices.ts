import { assertNever } from '../../core/assertNever.js';
import type { MoveView } from '../../decisions/configuration/types.js';
import { formatNoticeId } from '../../decisions/moves/notices.js';
import type { EndedMove, NoticeEffect, NoticeEvent } from '../../decisions/moves/noticeTypes.js';
import type { EntryEffect } from '../events.js';

/** Dependencies of the notices of moves. */
export interface NoticeInputs {
  readonly now: () => number;
  readonly createId: () => string;
  readonly process: string;
  /** With `none`, no notice is sent and none may be recorded as sent. */
  readonly webhook: 'set' | 'none';
  /** Hashes a string to an unsigned 32-bit integer. */
  readonly hash: (text: string) => number;
}

/** Number of distinct values that `hash` returns. */
const HASH_VALUES = 2 ** 32;

const toEndedMove = (view: MoveView): EndedMove | null => {
  const { name, ended } = view;
  if (ended === null) return null;
  return { name, endedAt: ended.offset, outcome: ended.outcome, reason: ended.reason };
};

/**
 * Derives the event of the notice that announces the end of a move.
 *
 * @param view - move in the configuration
 * @param role - whether this process appended the terminal record
 * @param inputs - clock, identity and webhook
 * @returns the event, or null when the move has not ended or no webhook is set
 */
export const toNoticeEvent = (
  view: MoveView,
  role: 'author' | 'other',
  inputs: NoticeInputs,
): NoticeEvent | null => {
  const ended = toEndedMove(view);
  if (ended === null || inputs.webhook === 'none') return null;
  if (view.ended?.notice === 'sent') return { kind: 'recorded', ended };
  const order = inputs.hash(`${formatNoticeId(ended)} ${inputs.process}`) / HASH_VALUES;
  return { kind: 'ended', ended, role, order, now: inputs.now() };
};

/**
 * Translates one effect of a notice into effects of the daemon.
 *
 * @param effect - effect of the decision
 * @param inputs - clock, identity and webhook
 * @returns the effects of the daemon
 */
export const buildNoticeEffects = (
  effect: NoticeEffect,
  inputs: NoticeInputs,
): readonly EntryEffect[] => {
  switch (effect.kind) {
    case 'send-notice': {
      const { name, outcome, reason } = effect.ended;
      const event = outcome === 'done' ? 'move-done' : 'move-taken-back';
      const notice = {
        id: effect.id,
        event,
        entity: name,
        at: inputs.now(),
        detail: reason,
      } as const;
      return [{ kind: 'notify-operators', notice, report: 'wanted' }];
    }
    case 'append-notified': {
      const { name, endedAt } = effect.ended;
      return [
        {
          kind: 'post',
          event: {
            to: 'appends',
            kind: 'append-requested',
            stream: 'control',
            record: {
              kind: 'move-notified',
              format: 1,
              entity: name,
              basedOn: null,
              body: { endedAt },
              author: inputs.process,
              nonce: inputs.createId(),
            },
            owner: { kind: 'own-record' },
          },
        },
      ];
    }
    default:
      return assertNever(effect);
  }
};
