import {
  CRASH_REPEAT_MS,
  MAX_REPORTED_CRASH_CHARS,
  MAX_REPORTED_CRASHES,
  MAX_REPORTED_SURVIVALS,
} from './constants.js';
import type { CrashReportRow, PeerReport } from './types.js';
import type { Millis } from '../../core/clock.js';
import {
  listCrashes,
  listEndedQuarantines,
  listQuarantineCrashes,
  listSurvivals,
} from '../../decisions/quarantine/crashEvidence.js';
import type { CrashEvidence, Survival } from '../../decisions/quarantine/crashEvidence.js';
import type { CrashReport } from '../../decisions/quarantine/types.js';

/**
 * `recent`: crashes and survivals of the last `CRASH_REPEAT_MS`. `quarantines`: also those of all
 * fingerprints that are or were quarantined, for daemons that started later.
 */
export type CrashReportScope = 'recent' | 'quarantines';

/** Crashes and survivals with their instants by this daemon's clock. */
export interface PeerCrashes {
  readonly crashes: readonly CrashReport[];
  readonly survivals: readonly Survival[];
}

/** The part of a peer message that reports crashes. */
export type CrashMessage = Pick<PeerReport, 'crashes' | 'survivals'>;

/**
 * Converts a crash to the row that is sent to peers and stored.
 *
 * @param report - crash
 * @param now - current instant
 * @returns the row with the age of the crash
 */
export const toCrashRow = (
  { at, content, endpoint, progress }: CrashReport,
  now: Millis,
): CrashReportRow => [content.whole ?? '', endpoint, progress, Math.round(now - at), content.parts];

const countChars = ({ content: { parts, whole } }: CrashReport): number =>
  parts.reduce((sum, { length }) => sum + length, whole?.length ?? 0);

/**
 * Leaves out prompt parts that do not fit into a report. Its crashes then suspect the whole content
 * alone, at a daemon that does not observe them itself.
 */
const limitChars = (reports: readonly CrashReport[]): readonly CrashReport[] => {
  let leftChars = MAX_REPORTED_CRASH_CHARS;
  return reports.flatMap((report): readonly CrashReport[] => {
    const chars = countChars(report);
    if (chars <= leftChars) {
      leftChars -= chars;
      return [report];
    }
    const { content } = report;
    return content.whole === null ? [] : [{ ...report, content: { ...content, parts: [] } }];
  });
};

/**
 * Builds the crash report for the other daemons, with ages in place of instants. It repeats what
 * peers reported, so that a report reaches all daemons of a fleet in which each contacts a few.
 *
 * @param evidence - crashes and survivals
 * @param scope - which crashes to report
 * @param now - current instant
 * @returns the rows of the message
 */
export const buildCrashMessage = (
  evidence: CrashEvidence,
  scope: CrashReportScope,
  now: Millis,
): CrashMessage => {
  const since = now - CRASH_REPEAT_MS;
  const recent = listCrashes(evidence, since, MAX_REPORTED_CRASHES);
  const lasting =
    scope === 'recent' ? [] : listQuarantineCrashes(evidence, now, MAX_REPORTED_CRASHES);
  const survivals = listSurvivals(evidence, since, MAX_REPORTED_SURVIVALS);
  const listed = new Set(survivals.map(({ fingerprint }) => fingerprint));
  const ended =
    scope === 'recent' ? [] : listEndedQuarantines(evidence, now, MAX_REPORTED_SURVIVALS);
  const rows = limitChars([...recent, ...lasting.filter(({ at }) => at < since)]);
  return {
    crashes: rows.map((report) => toCrashRow(report, now)),
    survivals: [...survivals, ...ended.filter(({ fingerprint }) => !listed.has(fingerprint))].map(
      ({ at, fingerprint }) => [fingerprint, Math.round(now - at)],
    ),
  };
};

/**
 * Reads the crash report of a peer.
 *
 * @param message - rows of the message
 * @param now - instant at which it was received
 * @returns the report
 */
export const readCrashMessage = (
  { crashes, survivals }: CrashMessage,
  now: Millis,
): PeerCrashes => ({
  crashes: crashes.map(([whole, endpoint, progress, ageMs, parts]) => ({
    endpoint,
    progress,
    at: now - ageMs,
    content: { whole: whole === '' ? null : whole, parts },
  })),
  survivals: survivals.map(([fingerprint, ageMs]) => ({ fingerprint, at: now - ageMs })),
});
