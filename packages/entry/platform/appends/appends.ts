import { assertNever } from '../../../core/assertNever.js';
import type { Millis } from '../../../core/clock.js';
import { toStep } from '../../../core/step.js';
import type { ChildLogic } from '../../../core/supervision/types.js';
import { planGroupCommit } from '../../../decisions/idempotency/groupCommit.js';
import type { PendingAppend } from '../../../decisions/idempotency/groupCommit.js';
import type { AppendResult } from '../../../decisions/idempotency/types.js';
import type { AppendOwner, AppendsEvent, EntryEffect, LogStream } from '../../events.js';
import {
  COMMIT_MAX_BYTES,
  COMMIT_MAX_DELAY_MS,
  COMMIT_MAX_RECORDS,
  MAX_APPENDS_IN_FLIGHT,
  MAX_PENDING_APPENDS,
} from '../constants.js';

interface Waiting {
  readonly record: unknown;
  readonly owner: AppendOwner;
}

type Pending = PendingAppend<Waiting>;

interface Batch {
  readonly stream: LogStream;
  readonly appends: readonly Pending[];
}

/** Appends that wait for a group commit and batches under way. */
export interface AppendsState {
  readonly pending: Readonly<Record<LogStream, readonly Pending[]>>;
  /** Owned by the `appends` child and updated in place. */
  readonly batches: Map<number, Batch>;
  readonly nextBatchId: number;
}

interface AppendsStep {
  readonly state: AppendsState;
  readonly effects: readonly EntryEffect[];
}

const LIMITS = {
  maxRecords: COMMIT_MAX_RECORDS,
  maxBytes: COMMIT_MAX_BYTES,
  maxDelayMs: COMMIT_MAX_DELAY_MS,
};

const countInFlight = (state: AppendsState, stream: LogStream): number =>
  [...state.batches.values()].filter((batch) => batch.stream === stream).length;

const replyOwner = (owner: AppendOwner, result: AppendResult): readonly EntryEffect[] => {
  switch (owner.kind) {
    case 'intent':
      return [{ kind: 'post', event: { to: 'requests', kind: 'append-ended', owner, result } }];
    case 'operator': {
      const { operationId } = owner;
      const event = { to: 'operator', kind: 'append-ended', operationId, result } as const;
      return [{ kind: 'post', event }];
    }
    // Records that the daemon appends for itself are planned again while they are still due.
    case 'own-record':
      return [];
    default:
      return assertNever(owner);
  }
};

const sendBatch = (state: AppendsState, batch: Batch): AppendsStep => {
  const batchId = state.nextBatchId;
  state.batches.set(batchId, batch);
  const { stream } = batch;
  const records = batch.appends.map(({ payload }) => payload.record);
  return toStep<AppendsState, EntryEffect>(
    { ...state, nextBatchId: batchId + 1 },
    { kind: 'append-log', stream, batchId, records },
  );
};

/** Commits what is due; what exceeds the appends in flight waits for one of them to end. */
const commitDue = (state: AppendsState, stream: LogStream, now: Millis): AppendsStep => {
  const room = MAX_APPENDS_IN_FLIGHT - countInFlight(state, stream);
  if (room <= 0) return { state, effects: [] };
  const plan = planGroupCommit(state.pending[stream], now, LIMITS);
  const batches = plan.batches.slice(0, room);
  const held = plan.batches.slice(room).flat();
  const pending = { ...state.pending, [stream]: [...held, ...plan.rest] };
  const effects: EntryEffect[] = [];
  let next: AppendsState = { ...state, pending };
  for (const appends of batches) {
    const step = sendBatch(next, { stream, appends });
    next = step.state;
    effects.push(...step.effects);
  }
  if (plan.wakeAt !== null) {
    const event = { to: 'appends', kind: 'commit-due', stream } as const;
    effects.push({ kind: 'schedule', delayMs: Math.max(0, plan.wakeAt - now), event });
  }
  return { state: next, effects };
};

const addAppend = (
  state: AppendsState,
  event: Extract<AppendsEvent, { readonly kind: 'append-requested' }>,
  now: Millis,
): AppendsStep => {
  const { stream, record, owner } = event;
  const waiting = state.pending[stream];
  if (waiting.length >= MAX_PENDING_APPENDS) {
    const message = 'too many appends wait for the log';
    return { state, effects: replyOwner(owner, { kind: 'rejected', message }) };
  }
  const append: Pending = {
    payload: { record, owner },
    bytes: Buffer.byteLength(JSON.stringify(record)),
    since: now,
  };
  const pending = { ...state.pending, [stream]: [...waiting, append] };
  return commitDue({ ...state, pending }, stream, now);
};

const toOwnResult = (result: AppendResult, index: number): AppendResult =>
  result.kind === 'appended' ? { kind: 'appended', offset: result.offset + index } : result;

const closeBatch = (
  state: AppendsState,
  event: Extract<AppendsEvent, { readonly kind: 'append-ended' }>,
  now: Millis,
): AppendsStep => {
  const batch = state.batches.get(event.batchId);
  if (batch === undefined) return { state, effects: [] };
  state.batches.delete(event.batchId);
  const replies = batch.appends.flatMap(({ payload }, index) =>
    replyOwner(payload.owner, toOwnResult(event.result, index)),
  );
  const step = commitDue(state, batch.stream, now);
  return { state: step.state, effects: [...replies, ...step.effects] };
};

/**
 * Creates the decisions of the `appends` child: group commits to the platform's log.
 *
 * @param now - current instant
 * @returns the child's logic
 */
export const createAppendsLogic = (
  now: () => Millis,
): ChildLogic<AppendsState, AppendsEvent, EntryEffect> => ({
  init: () =>
    toStep<AppendsState, EntryEffect>({
      pending: { control: [], intents: [] },
      batches: new Map(),
      nextBatchId: 0,
    }),
  decide: (state, event) => {
    switch (event.kind) {
      case 'append-requested':
        return addAppend(state, event, now());
      case 'commit-due':
        return commitDue(state, event.stream, now());
      case 'append-ended':
        return closeBatch(state, event, now());
      default:
        return assertNever(event);
    }
  },
});
