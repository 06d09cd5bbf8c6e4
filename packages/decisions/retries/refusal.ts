import type { Failure, Verdict } from '../../core/verdict.js';
import { mergeVerdicts } from '../streams/verdicts.js';

/**
 * Resolves the failure that a caller receives when no attempt is left. A refusal by the last
 * endpoint, the queue or the placement proves nothing about an earlier attempt that may have run.
 *
 * @param earlier - merged verdict of the earlier attempts
 * @param failure - why the request ends
 * @returns the failure with the merged verdict: `not-run` only when no attempt may have run
 */
export const resolveRefusal = (earlier: Verdict, failure: Failure): Failure => ({
  ...failure,
  verdict: mergeVerdicts(earlier, failure.verdict),
});
