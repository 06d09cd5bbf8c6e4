import { assertNever } from '../../../core/assertNever.js';
import type { Millis } from '../../../core/clock.js';
import { toStep } from '../../../core/step.js';
import type { Step } from '../../../core/step.js';
import type { ChildLogic } from '../../../core/supervision/types.js';
import { planCarryForward } from '../../../decisions/idempotency/carryForward.js';
import { parseIntentRecord } from '../../../decisions/idempotency/records.js';
import {
  createIntentTable,
  expireChains,
  foldIntentBatch,
} from '../../../decisions/idempotency/table.js';
import type { IntentTable } from '../../../decisions/idempotency/table.js';
import { planUpkeep } from '../../../decisions/idempotency/upkeep.js';
import type { IntentStreamRecord, KeySettings } from '../../../decisions/idempotency/types.js';
import type { EntryEffect, IntentsEvent, LogBatch } from '../../events.js';
import {
  CARRY_FORWARD_AGE_MS,
  READ_LIMIT,
  READ_RETRY_MS,
  READ_WAIT_MS,
  UPKEEP_MS,
} from '../constants.js';

/** Intent chains of idempotency keys, folded from the part of the stream that was read. */
export interface IntentsState {
  readonly table: IntentTable;
  /** `out` from a failed read of the log until the next successful one. */
  readonly log: 'up' | 'out';
  readonly read: 'running' | 'waiting';
  /** Oldest offset that the log retains. */
  readonly firstOffset: number;
}

/** Dependencies of the `intents` child. */
export interface IntentsInputs {
  readonly now: () => Millis;
  readonly keys: KeySettings;
}

type IntentsStep = Step<IntentsState, EntryEffect>;

const buildRead = (state: IntentsState): EntryEffect => ({
  kind: 'read-log',
  stream: 'intents',
  from: state.table.nextOffset,
  // A daemon that catches up reads the available records and doesn't wait for new ones.
  waitMs: state.table.standing === 'exact' ? READ_WAIT_MS : 0,
});

const logRejected = (offset: number, message: string): EntryEffect => ({
  kind: 'log',
  name: 'record-rejected',
  details: { position: { stream: 'intents', offset }, data: { message } },
});

const applyBatch = (state: IntentsState, batch: LogBatch, now: Millis): IntentsStep => {
  const rejected: EntryEffect[] = [];
  const records: { offset: number; record: IntentStreamRecord }[] = [];
  for (const { offset, body } of batch.records) {
    const parsed = parseIntentRecord(body);
    if (parsed.isOk()) records.push({ offset, record: parsed.value });
    else rejected.push(logRejected(offset, parsed.error.message));
  }
  foldIntentBatch(
    state.table,
    {
      firstOffset: batch.firstOffset,
      nextOffset: batch.nextOffset,
      records,
      end: batch.records.length < READ_LIMIT ? 'reached' : 'more',
    },
    now,
  );
  const next: IntentsState = {
    ...state,
    log: 'up',
    read: 'running',
    firstOffset: batch.firstOffset,
  };
  const recovered: readonly EntryEffect[] =
    state.log === 'up' ? [] : [{ kind: 'log', name: 'log-available', details: {} }];
  const folded: EntryEffect = { kind: 'post', event: { to: 'requests', kind: 'intents-folded' } };
  return toStep(next, ...recovered, ...rejected, folded, buildRead(next));
};

const handleReadFailure = (state: IntentsState, reason: string): IntentsStep => {
  const next: IntentsState = { ...state, log: 'out', read: 'waiting' };
  const nextRead: EntryEffect = {
    kind: 'schedule',
    delayMs: READ_RETRY_MS,
    event: { to: 'intents', kind: 'read-due' },
  };
  if (state.log === 'out') return toStep(next, nextRead);
  const logged: EntryEffect = {
    kind: 'log',
    name: 'log-unavailable',
    details: { data: { stream: 'intents', reason } },
  };
  return toStep(next, nextRead, logged);
};

const runUpkeep = (state: IntentsState, now: Millis): IntentsStep => {
  const nextUpkeep: EntryEffect = {
    kind: 'schedule',
    delayMs: UPKEEP_MS,
    event: { to: 'intents', kind: 'upkeep' },
  };
  const plan = planUpkeep(state.table.chains.size, UPKEEP_MS);
  expireChains(state.table, now, plan.expiryVisits);
  const { firstOffset } = state;
  const carried = planCarryForward(state.table, {
    firstOffset,
    now,
    carryAfterMs: CARRY_FORWARD_AGE_MS,
    maxRecords: plan.maxCarried,
  });
  const appends = carried.map((record): EntryEffect => ({
    kind: 'post',
    event: {
      to: 'appends',
      kind: 'append-requested',
      stream: 'intents',
      record,
      owner: { kind: 'own-record' },
    },
  }));
  return toStep(state, nextUpkeep, ...appends);
};

/**
 * Creates the decision logic of the `intents` child, which reads the stream continuously and
 * rebuilds its state from the log after a restart.
 *
 * @param inputs - clock, key window and bounds on the number of keys
 * @returns the child's logic
 */
export const createIntentsLogic = (
  inputs: IntentsInputs,
): ChildLogic<IntentsState, IntentsEvent, EntryEffect> => ({
  init: () => {
    const state: IntentsState = {
      table: createIntentTable(inputs.keys),
      log: 'up',
      read: 'running',
      firstOffset: 0,
    };
    return toStep<IntentsState, EntryEffect>(state, buildRead(state), {
      kind: 'schedule',
      delayMs: UPKEEP_MS,
      event: { to: 'intents', kind: 'upkeep' },
    });
  },
  decide: (state, event): IntentsStep => {
    switch (event.kind) {
      case 'read-ended':
        return applyBatch(state, event.batch, inputs.now());
      case 'read-failed':
        return handleReadFailure(state, event.reason);
      case 'read-due': {
        // A running read returns as soon as records arrive, so a second one is not needed.
        if (state.read === 'running') return toStep(state);
        const next: IntentsState = { ...state, read: 'running' };
        return toStep(next, buildRead(next));
      }
      case 'upkeep':
        return runUpkeep(state, inputs.now());
      default:
        return assertNever(event);
    }
  },
});
