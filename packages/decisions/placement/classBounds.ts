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
 * Computes the concurrency limit for a class; the difference to `limit` is reserved for critical
 * classes.
 *
 * @param limit - maximum number of running sequences of all classes
 * @param targets - class of the request
 * @returns limit that applies to requests of the class; at least 1 if `limit` is
 */
export const computeClassLimit = (limit: number, targets: ClassTargets): number => {
  if (limit < MIN_LIMIT_FOR_RESERVE || hasReserveAccess(targets.importance)) return limit;
  return limit - Math.max(1, Math.floor(limit * CRITICAL_RESERVE_SHARE));
};

/**
 * Computes the memory available to a class; the rest is reserved for critical classes.
 *
 * @param total - memory of the engine in tokens
 * @param targets - class of the request
 * @returns available memory in tokens
 */
export const computeClassMemory = (total: number, targets: ClassTargets): number =>
  hasReserveAccess(targets.importance) ? total : total * (1 - CRITICAL_RESERVE_SHARE);

/**
 * Computes the highest accepted probability of a memory overflow for a class. Critical classes
 * accept a higher one: they cannot wait for memory, and the resulting preemptions affect other
 * classes.
 *
 * @param targets - class of the request
 * @param base - probability accepted for classes that are not critical
 * @returns probability in [0, 1]; the operator's value if the class has one
 */
export const computeAcceptedOverflow = (targets: ClassTargets, base: number): number => {
  if (targets.overflowProbability !== undefined) return targets.overflowProbability;
  if (!hasReserveAccess(targets.importance)) return base;
  return Math.min(MAX_ACCEPTED_OVERFLOW, base * CRITICAL_OVERFLOW_FACTOR);
};
