import { BUDGET_SLICES, BUDGET_USE } from './constants.js';
import type { Millis } from '../../core/clock.js';

/** Bound of repeats that all daemons share. */
export interface BudgetRule {
  /** Repeats allowed for each request. */
  readonly ratio: number;
  /** Repeats allowed in a window beyond the ratio, over all daemons. */
  readonly slack: number;
  readonly windowMs: Millis;
}

interface Slice {
  readonly number: number;
  requests: number;
  repeats: number;
}

/** Requests and repeats of one service in this daemon; only this module updates it. */
export interface BudgetWindow {
  readonly slices: Slice[];
}

/**
 * Creates a window without requests.
 *
 * @returns the empty window
 */
export const createBudgetWindow = (): BudgetWindow => ({ slices: [] });

const findSlice = (window: BudgetWindow, rule: BudgetRule, now: Millis): Slice => {
  const number = Math.floor((now * BUDGET_SLICES) / rule.windowMs);
  while (window.slices[0] !== undefined && window.slices[0].number <= number - BUDGET_SLICES) {
    window.slices.shift();
  }
  const last = window.slices.at(-1);
  if (last?.number === number) return last;
  const slice = { number, requests: 0, repeats: 0 };
  window.slices.push(slice);
  return slice;
};

/**
 * Counts a request of a caller.
 *
 * @param window - window of its service
 * @param rule - bound of the repeats
 * @param now - current instant
 */
export const countRequest = (window: BudgetWindow, rule: BudgetRule, now: Millis): void => {
  findSlice(window, rule, now).requests += 1;
};

/**
 * Takes one repeat from this daemon's part of the budget. The fixed slack is divided by the number
 * of daemons, since no daemon sees the repeats of the others in time.
 *
 * @param window - window of the service
 * @param rule - bound of the repeats
 * @param daemons - daemons that share the slack
 * @param now - current instant
 * @returns `taken`, or `spent` when the part of this daemon is used up
 */
export const takeRepeat = (
  window: BudgetWindow,
  rule: BudgetRule,
  daemons: number,
  now: Millis,
): 'taken' | 'spent' => {
  const slice = findSlice(window, rule, now);
  const requests = window.slices.reduce((sum, { requests: count }) => sum + count, 0);
  const repeats = window.slices.reduce((sum, { repeats: count }) => sum + count, 0);
  const allowed = BUDGET_USE * (requests * rule.ratio + rule.slack / Math.max(1, daemons));
  if (repeats + 1 > allowed) return 'spent';
  slice.repeats += 1;
  return 'taken';
};
