import {
  NOTICE_APPEND_RETRY_MS,
  NOTICE_RETRY_FIRST_MS,
  NOTICE_RETRY_MAX_MS,
  NOTICE_TAKEOVER_MS,
  NOTICE_TAKEOVER_SPREAD_MS,
} from './constants.js';
import type {
  EndedMove,
  NoticeEffect,
  NoticeEvent,
  NoticeState,
  OpenNotice,
} from './noticeTypes.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import { toStep } from '../../core/step.js';
import type { Step } from '../../core/step.js';

type NoticeStep = Step<NoticeState, NoticeEffect>;

/**
 * Formats the id of a notice. It is the same whichever daemon sends the notice, so that the
 * receiver can drop duplicates.
 *
 * @param ended - end of the move
 * @returns the id
 */
export const formatNoticeId = ({ name, endedAt, outcome }: EndedMove): string =>
  `move-${outcome}/${name}/${endedAt.toString()}`;

const updateNotice = (state: NoticeState, id: string, notice: OpenNotice): NoticeState =>
  new Map(state).set(id, notice);

const openNotice = (
  state: NoticeState,
  event: Extract<NoticeEvent, { readonly kind: 'ended' }>,
): NoticeStep => {
  const { ended, role, order, now } = event;
  const id = formatNoticeId(ended);
  const known = state.get(id);
  if (known !== undefined) {
    const isFirst = role === 'author' && known.phase === 'waiting' && known.failures === 0;
    return isFirst ? sendNotice(state, id, known) : toStep(state);
  }
  const dueAt = now + NOTICE_TAKEOVER_MS + order * NOTICE_TAKEOVER_SPREAD_MS;
  const notice: OpenNotice = { ended, phase: 'waiting', dueAt, failures: 0 };
  return role === 'author'
    ? sendNotice(state, id, notice)
    : toStep(updateNotice(state, id, notice));
};

const sendNotice = (state: NoticeState, id: string, notice: OpenNotice): NoticeStep =>
  toStep(updateNotice(state, id, { ...notice, phase: 'sending' }), {
    kind: 'send-notice',
    id,
    ended: notice.ended,
  });

const appendNotified = (
  state: NoticeState,
  id: string,
  notice: OpenNotice,
  now: Millis,
): NoticeStep => {
  const dueAt = now + NOTICE_APPEND_RETRY_MS;
  const { ended } = notice;
  return toStep(updateNotice(state, id, { ...notice, phase: 'sent', dueAt }), {
    kind: 'append-notified',
    ended,
  });
};

const removeNotice = (state: NoticeState, ended: EndedMove): NoticeStep => {
  const id = formatNoticeId(ended);
  if (!state.has(id)) return toStep(state);
  const next = new Map(state);
  next.delete(id);
  return toStep(next);
};

const handleFailure = (state: NoticeState, id: string, now: Millis): NoticeStep => {
  const notice = state.get(id);
  if (notice?.phase !== 'sending') return toStep(state);
  const backoffMs = Math.min(NOTICE_RETRY_MAX_MS, NOTICE_RETRY_FIRST_MS * 2 ** notice.failures);
  const failures = notice.failures + 1;
  const waiting: OpenNotice = { ...notice, phase: 'waiting', dueAt: now + backoffMs, failures };
  return toStep(updateNotice(state, id, waiting));
};

const handleNoticeTick = (
  state: NoticeState,
  id: string,
  notice: OpenNotice,
  now: Millis,
): NoticeStep => {
  if (now < notice.dueAt) return toStep(state);
  switch (notice.phase) {
    case 'waiting':
      return sendNotice(state, id, notice);
    case 'sent':
      return appendNotified(state, id, notice, now);
    case 'sending':
      return toStep(state);
    default:
      return assertNever(notice.phase);
  }
};

const handleTick = (state: NoticeState, now: Millis): NoticeStep => {
  let step: NoticeStep = toStep(state);
  for (const [id, notice] of state) {
    const next = handleNoticeTick(step.state, id, notice, now);
    step = { state: next.state, effects: [...step.effects, ...next.effects] };
  }
  return step;
};

/**
 * Decides when to notify operators of ended moves. The daemon that appended the terminal record
 * sends the notice at once and then appends a record of it. Another daemon takes over if it has not
 * read that record after `NOTICE_TAKEOVER_MS` plus its share of `NOTICE_TAKEOVER_SPREAD_MS`.
 *
 * @param state - open notices of this process
 * @param event - record read from the log, result of a webhook call, or tick
 * @returns the next state, notices to send and records to append
 */
export const decideNotice = (state: NoticeState, event: NoticeEvent): NoticeStep => {
  switch (event.kind) {
    case 'ended':
      return openNotice(state, event);
    case 'recorded':
      return removeNotice(state, event.ended);
    case 'sent': {
      const notice = state.get(event.id);
      if (notice?.phase !== 'sending') return toStep(state);
      return appendNotified(state, event.id, notice, event.now);
    }
    case 'failed':
      return handleFailure(state, event.id, event.now);
    case 'tick':
      return handleTick(state, event.now);
    default:
      return assertNever(event);
  }
};
