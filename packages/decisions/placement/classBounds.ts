import {
  CRITICAL_OVERFLOW_FACTOR,
  CRITICAL_RESERVE_SHARE,
  MAX_ACCEPTED_OVERFLOW,
  MIN_LIMIT_FOR_RESERVE,
} from './constants.js';
import type { ClassTargets, Importance } from './types.js';
import { assertNever } from '../../core/assertNever.js';

const hasReserveAccess = (importance: Importance): boolean => {
  switch (importance) {
    case 'critical':
      return true;
    case 'standard':
    case 'background':
      return false;
    default:
      return assertNever(importance);
  }
};

/**
 * Computes the sequences that a class may have running at a limit; the rest is kept for critical
 * classes.
 *
 * @param limit - sequences allowed for all classes together
 * @param targets - class of the request
 * @returns the class's limit, at least 1 when `limit` is
 */
export const computeClassLimit = (limit: number, targets: ClassTargets): number => {
  if (limit < MIN_LIMIT_FOR_RESERVE || hasReserveAccess(targets.importance)) return limit;
  return limit - Math.max(1, Math.floor(limit * CRITICAL_RESERVE_SHARE));
};

/**
 * Computes the memory that a class may plan with; the rest is kept for critical classes.
 *
 * @param total - memory of the engine in tokens
 * @param targets - class of the request
 * @returns tokens that may be used
 */
export const computeClassMemory = (total: number, targets: ClassTargets): number =>
  hasReserveAccess(targets.importance) ? total : total * (1 - CRITICAL_RESERVE_SHARE);

/**
 * Computes the probability of a memory overflow that a class accepts. Critical answers accept more:
 * the preemptions that follow hit others, and they cannot wait for memory.
 *
 * @param targets - class of the request
 * @param base - probability accepted for other classes
 * @returns probability in [0, 1]; the operator's own value when the class has one
 */
export const computeAcceptedOverflow = (targets: ClassTargets, base: number): number => {
  if (targets.overflowProbability !== undefined) return targets.overflowProbability;
  if (!hasReserveAccess(targets.importance)) return base;
  return Math.min(MAX_ACCEPTED_OVERFLOW, base * CRITICAL_OVERFLOW_FACTOR);
};
