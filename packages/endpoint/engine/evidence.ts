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

/** Targets of a class; an answer that exceeds one of them counts as slow. */
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
 * @param outcome - outcome of one generation or call
 * @param thresholds - targets of its class, or undefined when the class is not published
 * @returns the updated counters
 */
export const addOutcome = (
  evidence: ReadonlyMap<string, EvidenceCounters>,
  outcome: WorkOutcome,
  thresholds: SlowThresholds | undefined,
): ReadonlyMap<string, EvidenceCounters> => {
  if (outcome.result === 'cancelled') return evidence;
  const ownKey = `${outcome.route}\n${outcome.className}`;
  const hasOwnRow = evidence.has(ownKey) || evidence.size < MAX_EVIDENCE_ROWS;
  const [key, route, className] = hasOwnRow
    ? [ownKey, outcome.route, outcome.className]
    : [OTHER, OTHER, OTHER];
  const previous = evidence.get(key) ?? createCounters(route, className);
  const counters: EvidenceCounters = {
    ...previous,
    successes: previous.successes + (outcome.result === 'success' ? 1 : 0),
    failures: previous.failures + (outcome.result === 'success' ? 0 : 1),
    slow: previous.slow + (isSlow(outcome, thresholds) ? 1 : 0),
    firstTokenMsSum: previous.firstTokenMsSum + (outcome.firstTokenMs ?? 0),
    tokenGapMsSum: previous.tokenGapMsSum + outcome.tokenGapMsSum,
    tokenGaps: previous.tokenGaps + outcome.tokenGaps,
  };
  return new Map(evidence).set(key, counters);
};
