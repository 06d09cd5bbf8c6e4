import type { Fingerprint, SuspicionState } from './types.js';
import type { Millis } from '../../core/clock.js';

/** Separates the parts of a set; fingerprints contain no spaces. */
const SEPARATOR = ' ';

/**
 * Formats a set of prompt parts as one fingerprint, under which the set is quarantined.
 *
 * @param parts - fingerprints of the parts
 * @returns the fingerprint of the set, the same for each order of the parts
 */
export const formatPartSet = (parts: readonly Fingerprint[]): Fingerprint =>
  [...parts].sort().join(SEPARATOR);

/**
 * Lists the parts of a set.
 *
 * @param set - fingerprint of the set
 * @returns fingerprints of the parts
 */
const listParts = (set: Fingerprint): readonly Fingerprint[] => set.split(SEPARATOR);

/**
 * Reports whether a fingerprint stands for more than one part.
 *
 * @param fingerprint - fingerprint of a content, a part or a set of parts
 * @returns true for a set
 */
export const isPartSet = (fingerprint: Fingerprint): boolean => fingerprint.includes(SEPARATOR);

/**
 * Checks whether a request has a quarantined part, or all parts of a quarantined set.
 *
 * @param state - quarantines
 * @param parts - fingerprints of the request's parts
 * @param now - current instant
 * @returns true when the request is to be refused
 */
export const hasQuarantinedParts = (
  { partSets, quarantined }: Pick<SuspicionState, 'partSets' | 'quarantined'>,
  parts: readonly Fingerprint[],
  now: Millis,
): boolean => {
  if (parts.length === 0 || quarantined.size === 0) return false;
  const own = new Set(parts);
  const isActive = (set: Fingerprint): boolean => (quarantined.get(set)?.expiresAt ?? 0) > now;
  return (
    parts.some(isActive) ||
    [...partSets].some((set) => isActive(set) && listParts(set).every((part) => own.has(part)))
  );
};
