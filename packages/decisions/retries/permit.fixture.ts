import { createSendOwner } from './sendOwner.js';
import type { SendPermit } from './types.js';
import type { Millis } from '../../core/clock.js';

/**
 * Issues the permit of a first attempt, for tests of what sends it.
 *
 * @param deadlineAt - deadline of the request, after 0
 * @returns the permit
 */
export const issueFirstPermit = (deadlineAt: Millis): SendPermit =>
  createSendOwner(0)
    .issuePermit(
      {
        customer: 'caroni',
        className: 'standard',
        purpose: { kind: 'first' },
        attempt: 1,
        deadlineAt,
        minAttemptMs: 0,
      },
      0,
    )
    .unwrap();
