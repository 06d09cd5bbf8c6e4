import type { Attempt, Effects } from './types.js';
import type { EndpointRecord } from '../../decisions/forwarding/types.js';
import type { CopyName } from '../types.js';

/** Copy of a generation and the endpoint that keeps it. */
export interface CopyLocation {
  readonly holder: EndpointRecord;
  readonly name: CopyName;
}

/**
 * Finds the copy from which a generation can go on without its endpoint.
 *
 * @param attempt - attempt that runs it
 * @returns the copy, or null without one
 */
export const findCopy = ({ backup, copy, endpoint }: Attempt): CopyLocation | null => {
  if (copy !== null) {
    const { handle, holder } = copy;
    return { holder, name: { kind: 'transfer', source: endpoint.address, handle } };
  }
  if (backup === null) return null;
  return { holder: backup, name: { kind: 'backup', holder: backup.address } };
};

/**
 * Frees the copy that a transfer left for a generation which no longer needs it.
 *
 * @param attempt - attempt that ended or that gives its copy up
 * @returns effects
 */
export const releaseCopy = (attempt: Attempt): Effects => {
  const { copy, endpoint } = attempt;
  attempt.copy = null;
  return copy === null
    ? []
    : [{ kind: 'release-copy', address: endpoint.address, handle: copy.handle }];
};
