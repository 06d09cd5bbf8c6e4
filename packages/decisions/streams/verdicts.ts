import type { GenerationSource } from './types.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure, Verdict } from '../../core/verdict.js';

const VERDICT_RANK: Readonly<Record<Verdict, number>> = { 'not-run': 0, 'may-have-run': 1, ran: 2 };

/**
 * Merges what two attempts of one request prove about its execution.
 *
 * @param left - verdict of one attempt
 * @param right - verdict of the other
 * @returns `not-run` only when both attempts were not run
 */
export const mergeVerdicts = (left: Verdict, right: Verdict): Verdict =>
  VERDICT_RANK[left] >= VERDICT_RANK[right] ? left : right;

/**
 * Builds the failure of a generation of which the caller saw a part.
 *
 * @param source - the lost generation
 * @param cause - sentence on what happened
 * @returns a `stream-lost` failure with the verdict `may-have-run`
 */
export const createStreamLost = (source: GenerationSource, cause: string): Failure =>
  createFailure(
    'may-have-run',
    'stream-lost',
    `generation ${source.generationId} at endpoint ${source.endpoint} was lost: ${cause}`,
  );

/**
 * Corrects the refusal of a resume. The generation that a resume ticket names has run, whatever
 * keeps this resume from being carried out, so a caller must not be told that its request was not.
 *
 * @param failure - why the resume is refused
 * @returns the failure, with `may-have-run` in place of `not-run`
 */
export const toResumeRefusal = (failure: Failure): Failure =>
  failure.verdict === 'not-run' ? { ...failure, verdict: 'may-have-run' } : failure;
