import type { GenerationSource } from './types.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure, Verdict } from '../../core/verdict.js';

const VERDICT_RANK: Readonly<Record<Verdict, number>> = { 'not-run': 0, 'may-have-run': 1, ran: 2 };

/**
 * Merges the verdicts of two attempts of one request.
 *
 * @param left - verdict of one attempt
 * @param right - verdict of the other
 * @returns the stronger verdict; `not-run` only when neither attempt has run
 */
export const mergeVerdicts = (left: Verdict, right: Verdict): Verdict =>
  VERDICT_RANK[left] >= VERDICT_RANK[right] ? left : right;

/**
 * Creates the failure of a generation that was lost after the caller had received a part of it.
 *
 * @param source - the lost generation
 * @param cause - description of what happened
 * @returns a `stream-lost` failure with the verdict `may-have-run`
 */
export const createStreamLostFailure = (source: GenerationSource, cause: string): Failure =>
  createFailure(
    'may-have-run',
    'stream-lost',
    `generation ${source.generationId} at endpoint ${source.endpoint} was lost: ${cause}`,
  );

/**
 * Corrects the verdict of a refused resume. The generation of a resume ticket has run, whatever the
 * reason for the refusal, so the caller must not receive `not-run`.
 *
 * @param failure - why the resume is refused
 * @returns the failure, with `may-have-run` in place of `not-run`
 */
export const toResumeRefusal = (failure: Failure): Failure =>
  failure.verdict === 'not-run' ? { ...failure, verdict: 'may-have-run' } : failure;
