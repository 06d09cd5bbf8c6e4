import type { Attempt, Effects } from './types.js';
import type { EndpointRecord } from '../../decisions/forwarding/types.js';
import { toIncarnation } from '../statements/incarnations.js';
import type { CopyReference } from '../types.js';

/** Reference to a generation's copy, and the endpoint that holds it. */
export interface CopyLocation {
  readonly holder: EndpointRecord;
  readonly name: CopyReference;
}

/**
 * Lists the copies from which a generation can resume, the one with the most events first.
 *
 * @param attempt - attempt that runs or ran the generation
 * @returns the copies
 */
export const listCopies = ({ backup, copy, endpoint }: Attempt): readonly CopyLocation[] => {
  const copies: CopyLocation[] = [];
  if (copy !== null) {
    const name = { kind: 'transfer', source: endpoint.address, handle: copy.handle } as const;
    copies.push({ holder: copy.holder, name });
  }
  if (backup !== null) {
    copies.push({ holder: backup, name: { kind: 'backup', holder: backup.address } });
  }
  return copies;
};

/**
 * Finds the copy from which a generation can resume without the endpoint that runs it.
 *
 * @param attempt - attempt that runs the generation
 * @returns the copy, or null when there is none
 */
export const findCopy = (attempt: Attempt): CopyLocation | null => listCopies(attempt)[0] ?? null;

/**
 * Releases the copy that a transfer made, if there is one.
 *
 * @param attempt - attempt that ended or no longer needs its copy
 * @returns effects that free the memory of the copy
 */
export const releaseCopy = (attempt: Attempt): Effects => {
  const { copy, endpoint } = attempt;
  attempt.copy = null;
  return copy === null
    ? []
    : [{ kind: 'release-copy', source: toIncarnation(endpoint), handle: copy.handle }];
};
