import type { Failure, Verdict } from '../../core/verdict.js';
import { mergeVerdicts } from '../streams/verdicts.js';

/**
 * Resolves what a caller is told when no attempt is left. A refusal of the last attempt, of the
 * queue or of the placement says nothing about an earlier attempt that may have run.
 *
 * @param earlier - what the ended attempts prove together
 * @param failure - why the request ends
 * @returns the failure, `not-run` only when no attempt may have run
 */
export const resolveRefusal = (earlier: Verdict, failure: Failure): Failure => ({
  ...failure,
  verdict: mergeVerdicts(earlier, failure.verdict),
});
