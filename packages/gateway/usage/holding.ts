import { REPORT_RESERVE_MS, REPORT_TIMEOUT_MS, WATCH_INTERVAL_MS } from './constants.js';
import type { HolderRecord, LeaseAppend } from './types.js';
import type { UsageContext, UsageState, Watch } from './usageState.js';
import { toStep } from '../../core/step.js';
import type { Step } from '../../core/step.js';
import {
  hasLapsed,
  computeLeaseLeft,
  computeNextTerm,
  isRenewalDue,
} from '../../decisions/leases/lease.js';
import { KEPT_WINDOWS, REMEMBERED_WINDOWS } from '../../decisions/usage/constants.js';
import type { FixedWindow, WindowNumber } from '../../decisions/usage/types.js';
import { isWindowSettled, sumWindow } from '../../decisions/usage/usageTable.js';
import type { GatewayEffect } from '../effects.js';

type UsageStep = Step<UsageState, GatewayEffect>;

const listWindows = (from: WindowNumber, until: WindowNumber): readonly WindowNumber[] =>
  Array.from({ length: Math.max(0, until - from) }, (_, index) => from + index);

/** Finds the first window that is to be reported: nothing is owed from before the first request. */
const findFirstWindow = (
  { reportedThrough }: UsageState,
  { current, inputs }: UsageContext,
): WindowNumber => {
  const oldest = current - KEPT_WINDOWS + 1;
  if (reportedThrough !== null) return Math.max(oldest, reportedThrough + 1);
  const used = listWindows(oldest, current).find(
    (window) => inputs.fixed.has(window) || sumWindow(inputs.table, window).size > 0,
  );
  return used ?? current;
};

/** Finds the oldest window whose counts are complete and not fixed yet. */
const findSettled = (state: UsageState, context: UsageContext): FixedWindow | null => {
  const { current, inputs, now, settings } = context;
  const window = listWindows(findFirstWindow(state, context), current).find(
    (candidate) => !inputs.fixed.has(candidate),
  );
  if (window === undefined) return null;
  const isSettled = isWindowSettled(inputs.table, window, inputs.listHosts(), now.wall, settings);
  return isSettled ? { window, counts: sumWindow(inputs.table, window) } : null;
};

const sendAppend = (
  state: UsageState,
  watch: Watch,
  term: number,
  fixed: FixedWindow | null,
  { inputs, now }: UsageContext,
): UsageStep => {
  const sequence = state.sequence + 1;
  const holder: HolderRecord = {
    term,
    holder: inputs.self.process,
    incarnation: state.incarnation,
    sequence,
    reportedThrough: state.reportedThrough,
  };
  const dropped = fixed === null ? null : fixed.window - REMEMBERED_WINDOWS;
  const append: LeaseAppend = { after: watch.position, holder, fixed, dropped };
  return toStep<UsageState, GatewayEffect>(
    {
      ...state,
      sequence,
      unconfirmedFrom: state.unconfirmedFrom ?? now,
      call: { kind: 'append', sentAt: now, append },
    },
    { kind: 'append-lease', append },
  );
};

const sendLoad = (state: UsageState): UsageStep =>
  toStep<UsageState, GatewayEffect>({ ...state, call: { kind: 'load' } }, { kind: 'load-lease' });

const takeOrWatch = (state: UsageState, watch: Watch, context: UsageContext): UsageStep => {
  const { now, settings } = context;
  // What was read a while ago may have been replaced, and the append would fail.
  if (now.steady - watch.readAt >= WATCH_INTERVAL_MS) return sendLoad(state);
  if (!hasLapsed(watch.known, watch.since, now.steady, settings.leaseMs)) return toStep(state);
  return sendAppend(state, watch, computeNextTerm(watch.known, now.wall), null, context);
};

/**
 * Sends the next call of the log, if one is due: a daemon that watches the lease reads it and takes it
 * over when it has lapsed; the holder renews it, and fixes the counts of a window with the same append.
 *
 * @param state - state of a daemon that watches the lease
 * @param context - settings and clocks
 * @returns the next state and the call
 */
export const sendLeaseCall = (state: UsageState, context: UsageContext): UsageStep => {
  const { call, callAfter, own, watch } = state;
  const { now, settings } = context;
  if (call !== null || now.steady < callAfter) return toStep(state);
  if (watch === null) return sendLoad(state);
  if (own === null) return takeOrWatch(state, watch, context);
  const fixed = findSettled(state, context);
  if (fixed === null && !isRenewalDue(own, now, settings.leaseMs)) return toStep(state);
  return sendAppend(state, watch, own.term, fixed, context);
};

/**
 * Sends the report of the oldest fixed window that was not accepted yet, if the lease lasts until it has
 * arrived.
 *
 * @param state - state of a daemon that watches the lease
 * @param context - settings and clocks
 * @returns the next state and the report
 */
export const reportWindow = (state: UsageState, context: UsageContext): UsageStep => {
  const { own, reportAfter, reporting } = state;
  const { current, inputs, now, settings } = context;
  if (own === null || reporting !== null || now.steady < reportAfter) return toStep(state);
  if (computeLeaseLeft(own, now, settings.leaseMs) < REPORT_RESERVE_MS) return toStep(state);
  const due = listWindows(findFirstWindow(state, context), current)
    .map((window) => inputs.fixed.get(window))
    .find((fixed) => fixed !== undefined);
  if (due === undefined) return toStep(state);
  const { counts, window } = due;
  return toStep<UsageState, GatewayEffect>(
    { ...state, reporting: window },
    {
      kind: 'report-usage',
      report: {
        holder: inputs.self.process,
        term: own.term,
        window,
        counts,
        timeoutMs: REPORT_TIMEOUT_MS,
      },
    },
  );
};
