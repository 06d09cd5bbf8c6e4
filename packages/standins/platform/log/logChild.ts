import { createRecordTable } from './recordTable.js';
import type { RecordTable } from './recordTable.js';
import { takeFromBucket } from '../../common/rateLimit.js';
import type { TokenBucket } from '../../common/rateLimit.js';
import type { ReplyId } from '../../common/pendingRequests.js';
import { APPEND_BURST_SECONDS } from '../constants.js';
import type {
  FaultsEvent,
  LogEvent,
  LogMode,
  PlatformEffect,
  PlatformFaults,
  PlatformSettings,
} from '../types.js';
import { assertNever } from '../../../core/assertNever.js';
import type { Clock, Millis } from '../../../core/clock.js';
import type { Step } from '../../../core/step.js';
import { toStep } from '../../../core/step.js';
import type { ChildLogic } from '../../../core/supervision/types.js';

type ReadEvent = Extract<LogEvent, { kind: 'read' }>;
type AppendEvent = Extract<LogEvent, { kind: 'append' | 'append-due' }>;

/** State of the log; the record table is updated in place. */
export interface LogState {
  readonly mode: LogMode;
  readonly settings: PlatformSettings;
  readonly bucket: TokenBucket;
  readonly table: RecordTable;
  /** Reads that wait for a record at or after their offset. */
  readonly waiting: readonly ReadEvent[];
}

type LogStep = Step<LogState, PlatformEffect>;

const replyUnavailable = (reply: ReplyId): PlatformEffect => ({
  kind: 'answer',
  reply,
  answer: { status: 503, body: { error: 'the log is unavailable' } },
});

const replyLimited = (reply: ReplyId, retryAfterMs: Millis): PlatformEffect => ({
  kind: 'answer',
  reply,
  answer: {
    status: 429,
    headers: { 'retry-after': Math.ceil(retryAfterMs / 1_000).toString() },
    body: { error: 'too many append requests', retryAfterMs },
  },
});

const replyRead = (state: LogState, event: ReadEvent, now: Millis): PlatformEffect => {
  const { retentionRecords, retentionMs } = state.settings;
  state.table.expire(event.stream, { records: retentionRecords, ageMs: retentionMs }, now);
  const body = state.table.read(event.stream, event.from, event.limit);
  return { kind: 'answer', reply: event.reply, answer: { status: 200, body } };
};

const applyAppend = (state: LogState, event: AppendEvent, now: Millis): LogStep => {
  const firstOffset = state.table.append(event.stream, event.records, Math.round(now));
  const ready = state.waiting.filter((read) => read.stream === event.stream);
  const waiting = state.waiting.filter((read) => read.stream !== event.stream);
  const answer: PlatformEffect =
    state.mode === 'lose-answers'
      ? { kind: 'drop', reply: event.reply }
      : { kind: 'answer', reply: event.reply, answer: { status: 200, body: { firstOffset } } };
  const reads = ready.map((read) => replyRead(state, read, now));
  return toStep({ ...state, waiting }, answer, ...reads);
};

const admitAppend = (state: LogState, event: AppendEvent, now: Millis): LogStep => {
  if (state.mode === 'down') return toStep(state, replyUnavailable(event.reply));
  const perSecond = state.settings.appendsPerSecond;
  const burst = Math.max(1, perSecond * APPEND_BURST_SECONDS);
  const decision = takeFromBucket(state.bucket, perSecond, burst, now);
  const next = { ...state, bucket: decision.bucket };
  if (decision.kind === 'limited') {
    return toStep(next, replyLimited(event.reply, decision.retryAfterMs));
  }
  if (state.mode !== 'slow') return applyAppend(next, event, now);
  const due = { ...event, kind: 'append-due', to: 'log' } as const;
  return toStep(next, { kind: 'schedule', delayMs: state.settings.appendDelayMs, event: due });
};

const admitRead = (state: LogState, event: ReadEvent, now: Millis): LogStep => {
  if (state.mode === 'down') return toStep(state, replyUnavailable(event.reply));
  const page = state.table.read(event.stream, event.from, 1);
  const isEmpty = page.records.length === 0;
  if (!isEmpty || event.waitMs <= 0) return toStep(state, replyRead(state, event, now));
  const expiry = { kind: 'read-expired', to: 'log', reply: event.reply } as const;
  return toStep(
    { ...state, waiting: [...state.waiting, event] },
    { kind: 'schedule', delayMs: event.waitMs, event: expiry },
  );
};

const expireRead = (state: LogState, reply: ReplyId, now: Millis): LogStep => {
  const expired = state.waiting.filter((read) => read.reply === reply);
  const waiting = state.waiting.filter((read) => read.reply !== reply);
  return toStep({ ...state, waiting }, ...expired.map((read) => replyRead(state, read, now)));
};

const applyFaults = (state: LogState, faults: PlatformFaults): LogStep => {
  const settings: PlatformSettings = {
    ...state.settings,
    appendDelayMs: faults.appendDelayMs ?? state.settings.appendDelayMs,
    retentionRecords: faults.retentionRecords ?? state.settings.retentionRecords,
    retentionMs: faults.retentionMs ?? state.settings.retentionMs,
  };
  const next: LogState = { ...state, settings, mode: faults.log ?? state.mode };
  if (next.mode !== 'down') return toStep(next);
  const refused = next.waiting.map((read) => replyUnavailable(read.reply));
  return toStep({ ...next, waiting: [] }, ...refused);
};

/**
 * Decides one event of the log.
 *
 * @param state - state of the log before the event
 * @param event - request, timer or fault
 * @param now - current instant
 * @returns the next state and the effects
 */
export const decideLog = (state: LogState, event: LogEvent | FaultsEvent, now: Millis): LogStep => {
  switch (event.kind) {
    case 'append':
      return admitAppend(state, event, now);
    case 'append-due':
      return state.mode === 'down'
        ? toStep(state, replyUnavailable(event.reply))
        : applyAppend(state, event, now);
    case 'read':
      return admitRead(state, event, now);
    case 'read-expired':
      return expireRead(state, event.reply, now);
    case 'set-faults':
      return applyFaults(state, event.faults);
    default:
      return assertNever(event);
  }
};

/**
 * Creates the child that owns the log.
 *
 * @param settings - rate limit, retention and delay
 * @param clock - clock of records and of the rate limit
 * @returns the decisions of the child
 */
export const createLogChild = (
  settings: PlatformSettings,
  clock: Clock,
): ChildLogic<LogState, LogEvent | FaultsEvent, PlatformEffect> => ({
  init: () =>
    toStep({
      mode: 'up',
      settings,
      bucket: { left: settings.appendsPerSecond * APPEND_BURST_SECONDS, at: clock.now() },
      table: createRecordTable(),
      waiting: [],
    }),
  decide: (state, event) => decideLog(state, event, clock.now()),
});
