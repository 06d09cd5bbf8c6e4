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

/** Record to append, and the receiver of the result. */
interface AppendPayload {
  readonly record: unknown;
  readonly owner: AppendOwner;
}

type Pending = PendingAppend<AppendPayload>;

/** Appends that are sent to the log in one request. */
interface Batch {
  readonly stream: LogStream;
  readonly appends: readonly Pending[];
}

/** Appends that wait for a group commit, and batches in flight. */
export interface AppendsState {
  readonly pending: Readonly<Record<LogStream, readonly Pending[]>>;
  /** Batches in flight by id. Owned by the `appends` child and updated in place. */
  readonly batches: Map<number, Batch>;
  readonly nextBatchId: number;
}

interface AppendsStep {
  readonly state: AppendsState;
  readonly effects: readonly EntryEffect[];
}

const COMMIT_LIMITS = {
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
    // The daemon plans its own records again while they are due, so a failure needs no reply.
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

/** Sends batches that are due; those over the in-flight limit wait until an append ends. */
const commitDue = (state: AppendsState, stream: LogStream, now: Millis): AppendsStep => {
  const freeSlots = MAX_APPENDS_IN_FLIGHT - countInFlight(state, stream);
  if (freeSlots <= 0) return { state, effects: [] };
  const plan = planGroupCommit(state.pending[stream], now, COMMIT_LIMITS);
  const batches = plan.batches.slice(0, freeSlots);
  const deferred = plan.batches.slice(freeSlots).flat();
  const pending = { ...state.pending, [stream]: [...deferred, ...plan.rest] };
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
  const queued = state.pending[stream];
  if (queued.length >= MAX_PENDING_APPENDS) {
    const message = 'too many appends are pending';
    return { state, effects: replyOwner(owner, { kind: 'rejected', message }) };
  }
  const append: Pending = {
    payload: { record, owner },
    bytes: Buffer.byteLength(JSON.stringify(record)),
    since: now,
  };
  const pending = { ...state.pending, [stream]: [...queued, append] };
  return commitDue({ ...state, pending }, stream, now);
};

/** Derives the result of one record from that of its batch, which has the first offset. */
const toRecordResult = (result: AppendResult, index: number): AppendResult =>
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
    replyOwner(payload.owner, toRecordResult(event.result, index)),
  );
  const step = commitDue(state, batch.stream, now);
  return { state: step.state, effects: [...replies, ...step.effects] };
};

/**
 * Creates the decision logic of the `appends` child, which groups appends to the platform's log.
 *
 * @param now - returns the current instant
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
