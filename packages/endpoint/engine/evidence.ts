import { MAX_EVIDENCE_ROWS } from './constants.js';
import type { Millis } from '../../core/clock.js';
import type { EvidenceCounters, WorkOutcome } from '../types.js';

const OTHER = 'other';

const createCounters = (route: string, className: string): EvidenceCounters => ({
  route,
  className,
  successes: 0,
  failures: 0,
  slow: 0,
  firstTokenMsSum: 0,
  tokenGapMsSum: 0,
  tokenGaps: 0,
});

/** Targets of a class that decide whether an answer counts as slow. */
export interface SlowThresholds {
  readonly firstTokenMs: Millis;
  readonly tokenGapMs: Millis;
}

const isSlow = (outcome: WorkOutcome, thresholds: SlowThresholds | undefined): boolean => {
  if (thresholds === undefined || outcome.result !== 'success') return false;
  const gap = outcome.tokenGaps === 0 ? 0 : outcome.tokenGapMsSum / outcome.tokenGaps;
  return (outcome.firstTokenMs ?? 0) > thresholds.firstTokenMs || gap > thresholds.tokenGapMs;
};

/**
 * Adds one outcome to the cumulative evidence of this process.
 *
 * @param evidence - counters by route and class
 * @param outcome - how one piece of work ended
 * @param thresholds - targets of its class, if they are known
 * @returns the counters with the outcome
 */
export const addOutcome = (
  evidence: ReadonlyMap<string, EvidenceCounters>,
  outcome: WorkOutcome,
  thresholds: SlowThresholds | undefined,
): ReadonlyMap<string, EvidenceCounters> => {
  if (outcome.result === 'cancelled') return evidence;
  const wanted = `${outcome.route}\n${outcome.className}`;
  const fits = evidence.has(wanted) || evidence.size < MAX_EVIDENCE_ROWS;
  const [key, route, className] = fits
    ? [wanted, outcome.route, outcome.className]
    : [OTHER, OTHER, OTHER];
  const known = evidence.get(key) ?? createCounters(route, className);
  const counters: EvidenceCounters = {
    ...known,
    successes: known.successes + (outcome.result === 'success' ? 1 : 0),
    failures: known.failures + (outcome.result === 'success' ? 0 : 1),
    slow: known.slow + (isSlow(outcome, thresholds) ? 1 : 0),
    firstTokenMsSum: known.firstTokenMsSum + (outcome.firstTokenMs ?? 0),
    tokenGapMsSum: known.tokenGapMsSum + outcome.tokenGapMsSum,
    tokenGaps: known.tokenGaps + outcome.tokenGaps,
  };
  return new Map(evidence).set(key, counters);
};
