import type { RestartIntensity, RestartRule, RestartStrategy } from './types.js';
import { assertNever } from '../assertNever.js';
import type { Millis } from '../clock.js';

export type RestartDecision =
  | { readonly kind: 'restart'; readonly children: readonly string[] }
  | { readonly kind: 'remove' }
  | { readonly kind: 'escalate' };

/** Instants of recent restarts, oldest first. */
export type RestartHistory = readonly Millis[];

const listAffected = (
  strategy: RestartStrategy,
  names: readonly string[],
  failed: string,
): readonly string[] => {
  switch (strategy) {
    case 'one-for-one':
      return [failed];
    case 'rest-for-one':
      return names.slice(names.indexOf(failed));
    case 'one-for-all':
      return names;
    default:
      return assertNever(strategy);
  }
};

const isRestartable = (rule: RestartRule): boolean => {
  switch (rule) {
    case 'permanent':
    case 'transient':
      return true;
    case 'temporary':
      return false;
    default:
      return assertNever(rule);
  }
};

/**
 * Decides what a supervisor does about a failed child.
 *
 * @param rule - restart rule of the failed child
 * @param strategy - which children restart with it
 * @param names - all children in start order
 * @param failed - name of the failed child
 * @param intensity - restarts allowed within a window
 * @param history - earlier restarts
 * @param now - current instant
 * @returns the decision and the history with this restart
 */
export const decideRestart = (
  rule: RestartRule,
  strategy: RestartStrategy,
  names: readonly string[],
  failed: string,
  intensity: RestartIntensity,
  history: RestartHistory,
  now: Millis,
): { readonly decision: RestartDecision; readonly history: RestartHistory } => {
  if (!isRestartable(rule)) return { decision: { kind: 'remove' }, history };
  const recent = history.filter((at) => at > now - intensity.withinMs);
  if (recent.length >= intensity.restarts) {
    return { decision: { kind: 'escalate' }, history: recent };
  }
  return {
    decision: { kind: 'restart', children: listAffected(strategy, names, failed) },
    history: [...recent, now],
  };
};
