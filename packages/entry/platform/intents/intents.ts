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
  CARRY_AFTER_MS,
  READ_LIMIT,
  READ_RETRY_MS,
  READ_WAIT_MS,
  UPKEEP_MS,
} from '../constants.js';

/** Chains of the keys that run at most once, as far as the stream was read. */
export interface IntentsState {
  readonly table: IntentTable;
  readonly log: 'up' | 'out';
  readonly read: 'running' | 'waiting';
  readonly firstOffset: number;
}

export interface IntentsInputs {
  readonly now: () => Millis;
  readonly keys: KeySettings;
}

type IntentsStep = Step<IntentsState, EntryEffect>;

const buildRead = (state: IntentsState): EntryEffect => ({
  kind: 'read-log',
  stream: 'intents',
  from: state.table.nextOffset,
  // A daemon that catches up asks for what is there, and does not wait for more.
  waitMs: state.table.standing === 'exact' ? READ_WAIT_MS : 0,
});

const logRejected = (offset: number, message: string): EntryEffect => ({
  kind: 'log',
  name: 'record-rejected',
  details: { position: { stream: 'intents', offset }, data: { message } },
});

const takeBatch = (state: IntentsState, batch: LogBatch, now: Millis): IntentsStep => {
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
  const back: readonly EntryEffect[] =
    state.log === 'up' ? [] : [{ kind: 'log', name: 'log-available', details: {} }];
  const folded: EntryEffect = { kind: 'post', event: { to: 'requests', kind: 'intents-folded' } };
  return toStep(next, ...back, ...rejected, folded, buildRead(next));
};

const handleFailure = (state: IntentsState, reason: string): IntentsStep => {
  const next: IntentsState = { ...state, log: 'out', read: 'waiting' };
  const again: EntryEffect = {
    kind: 'schedule',
    delayMs: READ_RETRY_MS,
    event: { to: 'intents', kind: 'read-due' },
  };
  if (state.log === 'out') return toStep(next, again);
  const logged: EntryEffect = {
    kind: 'log',
    name: 'log-unavailable',
    details: { data: { stream: 'intents', reason } },
  };
  return toStep(next, again, logged);
};

const carryForward = (state: IntentsState, now: Millis): IntentsStep => {
  const again: EntryEffect = {
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
    carryAfterMs: CARRY_AFTER_MS,
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
  return toStep(state, again, ...appends);
};

/**
 * Creates the decisions of the `intents` child. It reads the stream all the time; its state is
 * rebuilt from the log.
 *
 * @param inputs - clock and kept window of the keys
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
        return takeBatch(state, event.batch, inputs.now());
      case 'read-failed':
        return handleFailure(state, event.reason);
      case 'read-due': {
        // A running read returns as soon as records arrive, so a second one would add nothing.
        if (state.read === 'running') return toStep(state);
        const next: IntentsState = { ...state, read: 'running' };
        return toStep(next, buildRead(next));
      }
      case 'upkeep':
        return carryForward(state, inputs.now());
      default:
        return assertNever(event);
    }
  },
});
