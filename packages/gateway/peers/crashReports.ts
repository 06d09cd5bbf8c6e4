import { MAX_REPORTED_CRASHES } from './constants.js';
import type { Clock, Millis } from '../../core/clock.js';
import { createCrashTable, recordCrash } from '../../decisions/forwarding/crashTable.js';
import type { CrashTable } from '../../decisions/forwarding/crashTable.js';

interface OwnCrash {
  readonly fingerprint: string;
  readonly endpoint: string;
  readonly at: Millis;
}

/** Crashes that this daemon observed or that its peers reported. */
export interface CrashReports {
  readonly table: CrashTable;
  readonly addOwn: (fingerprint: string, endpoint: string) => void;
  readonly addFromPeer: (fingerprint: string, endpoint: string) => void;
  /** Lists the newest crashes that this daemon itself observed, as fingerprint and endpoint. */
  readonly listSince: (since: Millis) => readonly (readonly [string, string])[];
}

/**
 * Creates the crash reports of a daemon.
 *
 * @param clock - source of the instants of crashes
 * @returns the reports, without crashes
 */
export const createCrashReports = (clock: Clock): CrashReports => {
  const table = createCrashTable();
  let own: readonly OwnCrash[] = [];
  return {
    table,
    addOwn: (fingerprint, endpoint) => {
      const at = clock.now();
      recordCrash(table, fingerprint, endpoint, at);
      own = [...own, { fingerprint, endpoint, at }].slice(-MAX_REPORTED_CRASHES);
    },
    addFromPeer: (fingerprint, endpoint) => {
      recordCrash(table, fingerprint, endpoint, clock.now());
    },
    listSince: (since) =>
      own
        .filter(({ at }) => at >= since)
        .map(({ endpoint, fingerprint }) => [fingerprint, endpoint] as const),
  };
};
