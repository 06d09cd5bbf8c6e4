import { MAX_REMEMBERED_WRITES } from './constants.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import {
  addCrash,
  addSurvival,
  createCrashEvidence,
} from '../../decisions/quarantine/crashEvidence.js';
import type { CrashEvidence } from '../../decisions/quarantine/crashEvidence.js';
import type { CrashReport } from '../../decisions/quarantine/types.js';
import type { Fingerprint } from '../../decisions/quarantine/types.js';
import type { StoreEpoch } from '../types.js';

/** Write of a quarantine or of its end. */
export type QuarantineWrite =
  | { readonly kind: 'saved'; readonly at: Millis; readonly reports: readonly CrashReport[] }
  | { readonly kind: 'removed'; readonly at: Millis };

/**
 * Newest writes of this process to the store, oldest first. They outlive the state of the child: a
 * restored store may lack them, and nobody else repeats them.
 */
export interface QuarantineWrites {
  readonly byFingerprint: Map<Fingerprint, QuarantineWrite>;
  /** Epoch of the store to which the writes were repeated; null before the first restore. */
  repeatedEpoch: StoreEpoch;
}

/**
 * Creates the writes of a process that has written nothing.
 *
 * @returns the writes
 */
export const createQuarantineWrites = (): QuarantineWrites => ({
  byFingerprint: new Map(),
  repeatedEpoch: null,
});

/**
 * Remembers a write; above `MAX_REMEMBERED_WRITES` the oldest one is dropped.
 *
 * @param writes - writes, updated in place
 * @param fingerprint - fingerprint of the quarantine
 * @param write - newest write about it
 */
export const recordWrite = (
  { byFingerprint }: QuarantineWrites,
  fingerprint: Fingerprint,
  write: QuarantineWrite,
): void => {
  byFingerprint.delete(fingerprint);
  byFingerprint.set(fingerprint, write);
  const [oldest] = byFingerprint.keys();
  if (byFingerprint.size > MAX_REMEMBERED_WRITES && oldest !== undefined)
    byFingerprint.delete(oldest);
};

/**
 * Builds the evidence that the writes state, with which a restarted child can repeat them.
 *
 * @param writes - writes of this process
 * @param now - current instant
 * @returns the evidence
 */
export const buildWrittenEvidence = (
  { byFingerprint }: QuarantineWrites,
  now: Millis,
): CrashEvidence => {
  const evidence = createCrashEvidence();
  for (const [fingerprint, write] of byFingerprint) {
    switch (write.kind) {
      case 'saved':
        for (const report of write.reports) addCrash(evidence, report, now);
        break;
      case 'removed':
        addSurvival(evidence, { fingerprint, at: write.at });
        break;
      default:
        assertNever(write);
    }
  }
  return evidence;
};
