import { ACCRUED_SLACK_SHARE, CREDIT_LIMIT_SHARE } from './constants.js';
import type { Millis } from '../../core/clock.js';

/**
 * Part of the slack that a daemon has saved and not used. Only the modules of the budget update it.
 */
export interface SlackCredit {
  retries: number;
  updatedAt: Millis;
}

/**
 * Creates the credit of a daemon that has just started.
 *
 * @param now - current instant
 * @returns a credit of nothing
 */
export const createSlackCredit = (now: Millis): SlackCredit => ({ retries: 0, updatedAt: now });

/**
 * Adds the time that has passed to a credit. In any window, all lives of a process together use no more
 * than its limit and what accrues in a window: each life begins with nothing, and only one of them can
 * begin before the window.
 *
 * @param credit - credit of the daemon
 * @param slackShare - part of the slack of this daemon, in retries
 * @param windowMs - time for which a retry counts
 * @param now - current instant
 */
export const updateCredit = (
  credit: SlackCredit,
  slackShare: number,
  windowMs: Millis,
  now: Millis,
): void => {
  const elapsedMs = Math.max(0, now - credit.updatedAt);
  const accrued = (slackShare * ACCRUED_SLACK_SHARE * elapsedMs) / windowMs;
  credit.retries = Math.min(slackShare * CREDIT_LIMIT_SHARE, credit.retries + accrued);
  credit.updatedAt = now;
};
