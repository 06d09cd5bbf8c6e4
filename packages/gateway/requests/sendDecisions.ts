import type { Attempt, Effects, Forwarding, RequestsContext } from './types.js';
import { createBudgetWindow } from '../../decisions/forwarding/budgetWindow.js';
import type { RetryDecision } from '../../decisions/forwarding/retryBudget.js';
import { admitFurtherSend } from '../../decisions/forwarding/sendPermits.js';
import type {
  FurtherSend,
  SendDecision,
  SendHistory,
  SendPurpose,
  ServiceBudget,
} from '../../decisions/forwarding/sendPermits.js';

/**
 * Returns the retry budget of a request's service, whose window is created on first use.
 *
 * @param forwarding - request of the service
 * @param context - state and inputs
 * @returns the budget
 */
export const getBudget = (
  { service }: Forwarding,
  { inputs, state }: RequestsContext,
): ServiceBudget => {
  const window = state.budgets.get(service.name) ?? createBudgetWindow(state.startedAt);
  state.budgets.set(service.name, window);
  const { budget: settings } = inputs.getLiveSettings();
  return { window, settings, fleet: inputs.getFleet(), heldBack: 0 };
};

/** Reports whether the source of a transfer may have to take the generation back. */
const isReturnable = ({ fallback, phase, transfer }: Attempt): boolean =>
  (transfer !== null && transfer.phase !== 'waiting') ||
  (fallback !== null && phase !== 'answering');

const countReturns = ({ service }: Forwarding, { state }: RequestsContext): number => {
  let count = 0;
  for (const forwarding of state.inFlight.values()) {
    if (forwarding.service.name !== service.name) continue;
    for (const attempt of forwarding.attempts.values()) if (isReturnable(attempt)) count += 1;
  }
  return count;
};

const getHistory = ({
  attempts,
  notRunAttempts,
  possibleRuns,
  route,
  sends,
}: Forwarding): SendHistory => ({
  maxEndpoints: route.maxEndpoints,
  sends,
  possibleRuns,
  openAttempts: attempts.size,
  notRunAttempts,
});

const describeBudget = (
  { request, service }: Forwarding,
  purpose: SendPurpose,
  { charge, requests, retries }: RetryDecision,
  { fleet: { contact, daemons }, window }: ServiceBudget,
  { inputs }: RequestsContext,
): Effects => {
  const outcome = charge === null ? 'spent' : 'taken';
  const uptimeMs = Math.round(inputs.clock.now() - window.countedFrom);
  return [
    {
      kind: 'count',
      name: 'gateway_retry_decisions_total',
      labels: { service: service.name, purpose, outcome },
    },
    {
      kind: 'log',
      name: 'retry-decided',
      details: {
        requestId: request.id,
        entity: service.name,
        data: { purpose, outcome, daemons, contact, requests, retries, uptimeMs },
      },
    },
  ];
};

/** Decision on a further send of a request, and the effects that record it. */
export interface RecordedDecision {
  readonly decision: SendDecision;
  readonly effects: Effects;
}

/**
 * Decides whether a request may be sent again.
 *
 * @param forwarding - request
 * @param send - what the send is for
 * @param context - state and inputs
 * @returns the permit or the reason why there is none, and the effects that record the decision
 */
export const decideFurtherSend = (
  forwarding: Forwarding,
  send: FurtherSend,
  context: RequestsContext,
): RecordedDecision => {
  const heldBack = countReturns(forwarding, context);
  const budget = { ...getBudget(forwarding, context), heldBack };
  const now = context.inputs.clock.now();
  const decision = admitFurtherSend(send, getHistory(forwarding), budget, now);
  const effects =
    decision.budget === null
      ? []
      : describeBudget(forwarding, send.kind, decision.budget, budget, context);
  return { decision, effects };
};
