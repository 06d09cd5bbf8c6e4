import { handleAppend, handleLoad, handleReport } from './answers.js';
import {
  DISCOVERY_MS,
  SEND_INTERVAL_MS,
  SENT_WINDOWS,
  URGENT_SEND_INTERVAL_MS,
  URGENT_SEND_MS,
  USAGE_TICK_MS,
} from './constants.js';
import { sendLeaseCall, reportWindow } from './holding.js';
import type { UsageContext, UsageInputs, UsageState } from './usageState.js';
import { assertNever } from '../../core/assertNever.js';
import { toStep } from '../../core/step.js';
import type { Step } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';
import { REMEMBERED_WINDOWS } from '../../decisions/usage/constants.js';
import {
  countRun,
  findWindow,
  listOwnUsage,
  pruneUsage,
  receiveUsage,
} from '../../decisions/usage/usageTable.js';
import type { GatewayEffect } from '../effects.js';
import type { UsageEvent } from '../events.js';

type UsageStep = Step<UsageState, GatewayEffect>;

const NEXT_TICK: GatewayEffect = {
  kind: 'schedule',
  delayMs: USAGE_TICK_MS,
  event: { to: 'usage', kind: 'usage-due' },
};

const isCandidate = ({ inputs }: UsageContext, candidates: readonly string[]): boolean =>
  candidates.includes(inputs.self.host) && inputs.getPhase() === 'serving';

/** Counts of a window that has just ended are sent twice, as datagrams may be lost. */
const computeSendInterval = ({ inputs, now, settings }: UsageContext): number => {
  const sinceStartMs = now.wall % settings.windowMs;
  const isUrgent = sinceStartMs < URGENT_SEND_MS || inputs.getPhase() === 'draining';
  return isUrgent ? URGENT_SEND_INTERVAL_MS : SEND_INTERVAL_MS;
};

const sendUsage = (
  state: UsageState,
  candidates: readonly string[],
  context: UsageContext,
): UsageStep => {
  const { current, inputs, now } = context;
  const hosts = candidates.filter((host) => host !== inputs.self.host);
  if (hosts.length === 0 || now.steady - state.sentAt < computeSendInterval(context))
    return toStep(state);
  const sequence = state.messages + 1;
  const windows = listOwnUsage(inputs.table, current).slice(0, SENT_WINDOWS);
  return toStep<UsageState, GatewayEffect>(
    { ...state, messages: sequence, sentAt: now.steady },
    {
      kind: 'send-usage',
      hosts,
      message: { incarnation: state.incarnation, sequence, windows },
    },
  );
};

/** A daemon that leaves the candidates or drains stops renewing the lease, so that it lapses. */
const releaseLease = (state: UsageState): UsageStep => {
  if (state.own === null) return toStep({ ...state, watch: null });
  const data = { change: 'given-up', term: state.own.term };
  return toStep<UsageState, GatewayEffect>(
    { ...state, own: null, watch: null },
    { kind: 'log', name: 'lease-changed', details: { data } },
  );
};

const holdOrWatch = (state: UsageState, context: UsageContext): UsageStep => {
  const called = sendLeaseCall(state, context);
  const reported = reportWindow(called.state, context);
  return { state: reported.state, effects: [...called.effects, ...reported.effects] };
};

const handleDue = (state: UsageState, context: UsageContext): UsageStep => {
  const { current, inputs, now } = context;
  pruneUsage(inputs.table, current);
  for (const window of inputs.fixed.keys()) {
    if (window <= current - REMEMBERED_WINDOWS) inputs.fixed.delete(window);
  }
  if (now.steady - state.startedAt < DISCOVERY_MS) return toStep(state, NEXT_TICK);
  const candidates = inputs.chooseCandidates([inputs.self.host, ...inputs.listHosts()]);
  const sent = sendUsage(state, candidates, context);
  const next = isCandidate(context, candidates)
    ? holdOrWatch(sent.state, context)
    : releaseLease(sent.state);
  return { state: next.state, effects: [NEXT_TICK, ...sent.effects, ...next.effects] };
};

const decideUsage = (state: UsageState, event: UsageEvent, context: UsageContext): UsageStep => {
  const { current, inputs } = context;
  switch (event.kind) {
    case 'usage-due':
      return handleDue(state, context);
    case 'run-began':
      countRun(inputs.table, current, event.customer);
      return toStep(state);
    case 'usage-received':
      if (inputs.listHosts().includes(event.host))
        receiveUsage(inputs.table, { host: event.host, ...event.message }, current);
      return toStep(state);
    case 'lease-loaded':
      return handleLoad(state, event.result, context);
    case 'lease-appended':
      return handleAppend(state, event.result, context);
    case 'usage-report-ended':
      return handleReport(state, event.window, event.result, context);
    default:
      return assertNever(event);
  }
};

/**
 * Creates the decision logic of the `usage` child. Each daemon counts the requests of each customer that
 * endpoints began to run, by windows of the time of day, and sends its counts to the daemons that watch
 * a lease in the platform's log. The holder of the lease fixes the sums of a window in that log before it
 * reports them for the first time, so that a later holder reports the same.
 *
 * @param inputs - clocks, this daemon, the other daemons and settings
 * @returns the decision logic, which does nothing without settings
 */
export const createUsageLogic = (
  inputs: UsageInputs,
): ChildLogic<UsageState, UsageEvent, GatewayEffect> => {
  const { clock, settings, wallClock } = inputs;
  return {
    init: () =>
      toStep<UsageState, GatewayEffect>(
        {
          startedAt: clock.now(),
          incarnation: inputs.createIncarnation(),
          watch: null,
          own: null,
          sequence: 0,
          confirmedSequence: 0,
          unconfirmedFrom: null,
          call: null,
          callAfter: 0,
          reportedThrough: null,
          reporting: null,
          reportAfter: 0,
          messages: 0,
          sentAt: 0,
        },
        ...(settings === null ? [] : [NEXT_TICK]),
      ),
    decide: (state, event) => {
      if (settings === null) return toStep(state);
      const now = { steady: clock.now(), wall: wallClock.now() };
      const current = findWindow(now.wall, settings.windowMs);
      return decideUsage(state, event, { inputs, settings, now, current });
    },
  };
};
