import type { RequestRecord, Violation } from './types.js';
import { assertNever } from '../../core/assertNever.js';

/** Violations that the number of executions can reveal. */
type ExecutionViolation = Extract<
  Violation['kind'],
  'ran-twice' | 'not-run-but-ran' | 'ran-but-not-run'
>;

const checkVerdict = (
  verdict: 'not-run' | 'may-have-run' | 'ran',
  count: number,
): ExecutionViolation | 'none' => {
  switch (verdict) {
    case 'not-run':
      return count === 0 ? 'none' : 'not-run-but-ran';
    case 'ran':
      return count === 1 ? 'none' : 'ran-but-not-run';
    case 'may-have-run':
      return 'none';
    default:
      return assertNever(verdict);
  }
};

const checkOutcome = (record: RequestRecord, count: number): ExecutionViolation | 'none' => {
  const { outcome } = record;
  switch (outcome.kind) {
    case 'finished':
      return checkVerdict('ran', count);
    case 'failed':
      return checkVerdict(outcome.verdict, count);
    case 'no-answer':
    case 'unfinished':
    case 'open':
      return 'none';
    default:
      return assertNever(outcome);
  }
};

/**
 * Checks the number of executions of a non-repeatable call against the outcome that its caller
 * received.
 *
 * @param record - request and its outcome
 * @param count - number of executions over all services
 * @returns the violation, or `none`
 */
export const checkExecutions = (
  record: RequestRecord,
  count: number,
): ExecutionViolation | 'none' => (count > 1 ? 'ran-twice' : checkOutcome(record, count));

/**
 * Checks that a generation that was refused as `not-run` was not started by any engine. A request
 * that was retried is not checked, because an earlier call may have run.
 *
 * @param record - request and its outcome
 * @param count - number of generations with its request id over all engines
 * @returns the violation, or `none`
 */
export const checkRefusedGeneration = (
  record: RequestRecord,
  count: number,
): ExecutionViolation | 'none' => {
  const { outcome, retryKinds } = record;
  if (outcome.kind !== 'failed' || outcome.verdict !== 'not-run') return 'none';
  return count === 0 || retryKinds.length > 0 ? 'none' : 'not-run-but-ran';
};
