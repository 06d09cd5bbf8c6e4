import { LOAD_RETRY_MS, REPORT_RETRY_MS } from './constants.js';
import type { LeaseAppendResult, LeaseLoad, LeaseSnapshot, UsageReportResult } from './types.js';
import type { UsageContext, UsageState } from './usageState.js';
import { assertNever } from '../../core/assertNever.js';
import { toStep } from '../../core/step.js';
import type { Step } from '../../core/step.js';
import { observeLease } from '../../decisions/leases/lease.js';
import type { OwnLease } from '../../decisions/leases/lease.js';
import type { FixedWindow, WindowNumber } from '../../decisions/usage/types.js';
import type { GatewayEffect } from '../effects.js';

type UsageStep = Step<UsageState, GatewayEffect>;

const log = (
  name: 'lease-changed' | 'lease-unavailable' | 'usage-fixed' | 'usage-reported',
  data: Readonly<Record<string, string | number | boolean>>,
): GatewayEffect => ({ kind: 'log', name, details: { data } });

/** The first counts that this process has seen of a window stay, as they may have been reported. */
const addFixed = (fixed: Map<WindowNumber, FixedWindow>, windows: readonly FixedWindow[]): void => {
  for (const window of windows) {
    if (!fixed.has(window.window)) fixed.set(window.window, window);
  }
};

const computeReportedThrough = (
  { reportedThrough }: UsageState,
  { holder }: LeaseSnapshot,
): WindowNumber | null => {
  const stored = holder?.reportedThrough ?? null;
  return stored === null ? reportedThrough : Math.max(stored, reportedThrough ?? stored);
};

/** Finds out whether the newest record makes this daemon the holder, also one whose answer was lost. */
const computeOwn = (state: UsageState, { holder }: LeaseSnapshot): OwnLease | null => {
  if (holder?.incarnation !== state.incarnation) return null;
  if (holder.sequence <= state.confirmedSequence || state.unconfirmedFrom === null)
    return state.own;
  return { term: holder.term, validFrom: state.unconfirmedFrom };
};

const describeChange = (before: OwnLease | null, after: OwnLease | null): GatewayEffect[] => {
  if (before?.term === after?.term) return [];
  return after === null
    ? [log('lease-changed', { change: 'lost', term: before?.term ?? 0 })]
    : [log('lease-changed', { change: 'taken', term: after.term })];
};

const applySnapshot = (
  state: UsageState,
  snapshot: LeaseSnapshot,
  { inputs, now }: UsageContext,
): UsageStep => {
  addFixed(inputs.fixed, snapshot.windows);
  const { holder, position } = snapshot;
  const known = observeLease(state.watch?.known ?? null, holder, now.steady);
  const own = computeOwn(state, snapshot);
  return toStep<UsageState, GatewayEffect>(
    {
      ...state,
      call: null,
      own,
      watch: { since: state.watch?.since ?? now.steady, readAt: now.steady, known, position },
      reportedThrough: computeReportedThrough(state, snapshot),
    },
    ...describeChange(state.own, own),
  );
};

/**
 * Applies the answer to a load of the lease.
 *
 * @param state - state of the child
 * @param result - answer
 * @param context - settings and clocks
 * @returns the next state, and log lines
 */
export const handleLoad = (
  state: UsageState,
  result: LeaseLoad,
  context: UsageContext,
): UsageStep => {
  switch (result.kind) {
    case 'loaded':
      return applySnapshot(state, result.snapshot, context);
    case 'failed':
      return toStep<UsageState, GatewayEffect>(
        { ...state, call: null, callAfter: context.now.steady + LOAD_RETRY_MS },
        log('lease-unavailable', { call: 'load', message: result.message }),
      );
    default:
      return assertNever(result);
  }
};

/**
 * Applies the answer to an append. After any other answer than a success the records are loaded again,
 * since they may have been appended.
 *
 * @param state - state of the child
 * @param result - answer
 * @param context - settings and clocks
 * @returns the next state, and log lines
 */
export const handleAppend = (
  state: UsageState,
  result: LeaseAppendResult,
  { inputs, now }: UsageContext,
): UsageStep => {
  const { call } = state;
  // The answer to a call of an earlier incarnation of the child.
  if (call?.kind !== 'append') return toStep(state);
  const { append, sentAt } = call;
  switch (result.kind) {
    case 'appended': {
      const { fixed, holder } = append;
      if (fixed !== null) addFixed(inputs.fixed, [fixed]);
      const own: OwnLease = { term: holder.term, validFrom: sentAt };
      const known = { record: holder, observedAt: now.steady };
      const since = state.watch?.since ?? now.steady;
      return toStep<UsageState, GatewayEffect>(
        {
          ...state,
          call: null,
          own,
          confirmedSequence: holder.sequence,
          unconfirmedFrom: null,
          watch: { since, readAt: now.steady, known, position: result.position },
        },
        ...describeChange(state.own, own),
        ...(fixed === null
          ? []
          : [log('usage-fixed', { window: fixed.window, customers: fixed.counts.size })]),
      );
    }
    case 'conflict':
      return toStep<UsageState, GatewayEffect>(
        { ...state, call: { kind: 'load' } },
        { kind: 'load-lease' },
      );
    case 'unknown':
      return toStep<UsageState, GatewayEffect>(
        { ...state, call: { kind: 'load' } },
        { kind: 'load-lease' },
        log('lease-unavailable', { call: 'append', message: result.message }),
      );
    default:
      return assertNever(result);
  }
};

/**
 * Applies the answer to a report.
 *
 * @param state - state of the child
 * @param window - window that was reported
 * @param result - answer
 * @param context - settings and clocks
 * @returns the next state, and a log line
 */
export const handleReport = (
  state: UsageState,
  window: WindowNumber,
  result: UsageReportResult,
  { now }: UsageContext,
): UsageStep => {
  if (state.reporting !== window) return toStep(state);
  const retry: UsageState = {
    ...state,
    reporting: null,
    reportAfter: now.steady + REPORT_RETRY_MS,
  };
  switch (result.kind) {
    case 'accepted':
      return toStep<UsageState, GatewayEffect>(
        { ...state, reporting: null, reportedThrough: window },
        log('usage-reported', { window, result: 'accepted' }),
      );
    case 'refused':
      return toStep<UsageState, GatewayEffect>(
        retry,
        log('usage-reported', { window, result: 'refused', status: result.status }),
      );
    case 'unknown':
      return toStep<UsageState, GatewayEffect>(
        retry,
        log('usage-reported', { window, result: 'unknown', message: result.message }),
      );
    default:
      return assertNever(result);
  }
};
