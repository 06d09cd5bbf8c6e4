import type { RestartIntensity, RestartRule, RestartStrategy } from './types.js';
import { assertNever } from '../assertNever.js';
import type { Millis } from '../clock.js';

export type RestartDecision =
  | { readonly kind: 'restart'; readonly children: readonly string[] }
  | { readonly kind: 'remove' }
  | { readonly kind: 'escalate' };

/** Times of recent restarts, oldest first. */
export type RestartHistory = readonly Millis[];

const listAffectedChildren = (
  strategy: RestartStrategy,
  names: readonly string[],
  failedChild: string,
): readonly string[] => {
  switch (strategy) {
    case 'one-for-one':
      return [failedChild];
    case 'rest-for-one':
      return names.slice(names.indexOf(failedChild));
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
 * Decides how a supervisor handles a failed child.
 *
 * @param rule - restart rule of the failed child
 * @param strategy - determines which children restart with the failed one
 * @param names - all children in start order
 * @param failedChild - name of the failed child
 * @param intensity - number of restarts allowed within a window
 * @param history - earlier restarts
 * @param now - current instant
 * @returns the decision and the updated history
 */
export const decideRestart = (
  rule: RestartRule,
  strategy: RestartStrategy,
  names: readonly string[],
  failedChild: string,
  intensity: RestartIntensity,
  history: RestartHistory,
  now: Millis,
): { readonly decision: RestartDecision; readonly history: RestartHistory } => {
  if (!isRestartable(rule)) return { decision: { kind: 'remove' }, history };
  const recentRestarts = history.filter((at) => at > now - intensity.withinMs);
  if (recentRestarts.length >= intensity.restarts) {
    return { decision: { kind: 'escalate' }, history: recentRestarts };
  }
  return {
    decision: { kind: 'restart', children: listAffectedChildren(strategy, names, failedChild) },
    history: [...recentRestarts, now],
  };
};
