import type { RequestRecord, Violation } from './types.js';
import { assertNever } from '../../core/assertNever.js';

/** Why a number of executions breaks a promise, or `kept`. */
type ExecutionViolation = Extract<
  Violation['kind'],
  'ran-twice' | 'not-run-but-ran' | 'ran-but-not-run'
>;

const checkVerdict = (
  verdict: 'not-run' | 'may-have-run' | 'ran',
  count: number,
): ExecutionViolation | 'kept' => {
  switch (verdict) {
    case 'not-run':
      return count === 0 ? 'kept' : 'not-run-but-ran';
    case 'ran':
      return count === 1 ? 'kept' : 'ran-but-not-run';
    case 'may-have-run':
      return 'kept';
    default:
      return assertNever(verdict);
  }
};

const checkOutcome = (record: RequestRecord, count: number): ExecutionViolation | 'kept' => {
  const { outcome } = record;
  switch (outcome.kind) {
    case 'finished':
      return checkVerdict('ran', count);
    case 'failed':
      return checkVerdict(outcome.verdict, count);
    case 'no-answer':
    case 'unfinished':
    case 'open':
      return 'kept';
    default:
      return assertNever(outcome);
  }
};

/**
 * Checks the executions of a non-repeatable call against what its caller was told.
 *
 * @param record - request and its outcome
 * @param count - executions at all services
 * @returns the broken promise, or `kept`
 */
export const checkExecutions = (
  record: RequestRecord,
  count: number,
): ExecutionViolation | 'kept' => (count > 1 ? 'ran-twice' : checkOutcome(record, count));

/**
 * Checks that a generation that was refused as `not-run` was started at no engine. A request that
 * was sent again is left out, because an earlier call may have run.
 *
 * @param record - request and its outcome
 * @param count - generations with its request id at all engines
 * @returns the broken promise, or `kept`
 */
export const checkRefusedGeneration = (
  record: RequestRecord,
  count: number,
): ExecutionViolation | 'kept' => {
  const { outcome, calledAgain } = record;
  if (outcome.kind !== 'failed' || outcome.verdict !== 'not-run') return 'kept';
  return count === 0 || calledAgain.length > 0 ? 'kept' : 'not-run-but-ran';
};
