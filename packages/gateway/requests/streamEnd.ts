import type { Attempt, Forwarding } from './types.js';
import { isBetweenEvents } from '../../decisions/forwarding/eventSplitter.js';

/**
 * Finds out whether a stream whose answer ended is incomplete.
 *
 * @param forwarding - request
 * @param attempt - attempt whose answer ended
 * @returns where the stream ended if it cannot be complete, or null
 */
export const findMissingPart = (forwarding: Forwarding, attempt: Attempt): string | null => {
  if (!isBetweenEvents(attempt.splitter)) return 'inside an event';
  // Only with a framing does the end of a continuation without events mean that nothing was left.
  const isUnproven = attempt.events === 0 && attempt.head?.framing === 'until-close';
  return isUnproven || forwarding.delivered === 'nothing' ? 'without an event' : null;
};
