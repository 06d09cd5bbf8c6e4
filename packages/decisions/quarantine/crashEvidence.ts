import {
  CRASH_RETENTION_MS,
  MAX_CRASH_FINGERPRINTS,
  MAX_CRASH_REPORTS,
  MAX_PROVEN_FINGERPRINTS,
  QUARANTINE_POINTS,
} from './constants.js';
import {
  addSuspect,
  clearSuspect,
  compareReports,
  createSuspectClasses,
  isClassQuarantined,
  listLeadingClasses,
  removeSuspect,
  sumPoints,
} from './suspectClasses.js';
import type { ClassMoves, SuspectClass, SuspectClasses, SuspectKind } from './suspectClasses.js';
import type { ContentFingerprints, CrashReport, Fingerprint } from './types.js';
import type { Millis } from '../../core/clock.js';

/** Newest survival: an endpoint answered a request with the fingerprint and did not crash. */
export interface Survival {
  readonly fingerprint: Fingerprint;
  readonly at: Millis;
}

/**
 * Crashes and survivals by the fingerprints of the requests' contents: one for the whole content
 * and one for each prompt part that several requests can share. Only this module updates the
 * tables, which are ordered by their last update, oldest first.
 */
export interface CrashEvidence {
  readonly reports: Map<string, CrashReport>;
  readonly byFingerprint: Map<Fingerprint, Set<CrashReport>>;
  readonly survivals: Map<Fingerprint, Millis>;
  /** Fingerprints by the crashes since their last survival. */
  readonly classes: SuspectClasses;
  /** Numbers of the reports in the order in which they were added. */
  readonly numbers: Map<CrashReport, number>;
  /** Number of the next report. */
  nextNumber: number;
  /** Number of fingerprints in all reports. */
  fingerprintCount: number;
}

/** A request is refused because of one of its fingerprints. */
export interface QuarantinedContent {
  readonly kind: 'quarantined';
  readonly fingerprint: Fingerprint;
  /** Time until the quarantine ends. */
  readonly leftMs: Millis;
}

/** Result of a check of a request's content. */
export type ContentCheck = { readonly kind: 'accepted' } | QuarantinedContent;

/**
 * Creates evidence without crashes and survivals.
 *
 * @returns the evidence
 */
export const createCrashEvidence = (): CrashEvidence => ({
  reports: new Map(),
  byFingerprint: new Map(),
  survivals: new Map(),
  classes: createSuspectClasses(),
  numbers: new Map(),
  nextNumber: 0,
  fingerprintCount: 0,
});

const listFingerprints = ({ parts, whole }: ContentFingerprints): readonly Fingerprint[] =>
  whole === null ? parts : [whole, ...parts];

/**
 * Lists the sets of prompt parts that may be the cause of the crashes of quarantined parts. Any part of
 * a set may be the cause, so only a request with all of them is known to be dangerous.
 *
 * @param evidence - crashes and survivals
 * @param parts - fingerprints of the quarantined parts
 * @returns one set for each of the causes
 */
export const listSuspectedSets = (
  { classes }: CrashEvidence,
  parts: readonly Fingerprint[],
): readonly (readonly Fingerprint[])[] => {
  const leading = listLeadingClasses(classes);
  const found = new Set(parts.map((part) => classes.byMember.get(part)));
  return [...leading].filter((cause) => found.has(cause)).map(({ members }) => [...members]);
};

/**
 * Reports whether a fingerprint is quarantined.
 *
 * @param evidence - crashes and survivals
 * @param fingerprint - fingerprint of a content or of a prompt part
 * @param now - current instant
 * @returns true from the limit of points until the quarantine ends
 */
export const isQuarantined = (
  evidence: CrashEvidence,
  fingerprint: Fingerprint,
  now: Millis,
): boolean => isClassQuarantined(evidence.classes.byMember.get(fingerprint), now);

const removeReport = (evidence: CrashEvidence, key: string): void => {
  const { byFingerprint, classes, numbers, reports } = evidence;
  const report = reports.get(key);
  if (report === undefined) return;
  const fingerprints = listFingerprints(report.content);
  const number = numbers.get(report) ?? 0;
  const moves: ClassMoves = new Map();
  for (const fingerprint of fingerprints) {
    const related = byFingerprint.get(fingerprint);
    related?.delete(report);
    if (related?.size === 0) byFingerprint.delete(fingerprint);
    removeSuspect(classes, fingerprint, number, moves);
  }
  reports.delete(key);
  numbers.delete(report);
  evidence.fingerprintCount -= fingerprints.length;
};

const isQuarantineBasedOn = (
  evidence: CrashEvidence,
  { content }: CrashReport,
  now: Millis,
): boolean =>
  listFingerprints(content).some((fingerprint) => isQuarantined(evidence, fingerprint, now));

/** Finds the oldest report that no quarantine is based on, other than the newest report. */
const findUnneeded = (evidence: CrashEvidence, newest: string, now: Millis): string | null => {
  for (const [key, report] of evidence.reports)
    if (key !== newest && !isQuarantineBasedOn(evidence, report, now)) return key;
  return null;
};

/**
 * Drops reports that no quarantine is based on, the oldest first. A quarantine goes, too, when those
 * that are left hold more fingerprints than fit.
 */
const pruneReports = (evidence: CrashEvidence, newest: string, now: Millis): void => {
  const { reports } = evidence;
  const isLarge = (): boolean => evidence.fingerprintCount > MAX_CRASH_FINGERPRINTS;
  while (reports.size > MAX_CRASH_REPORTS || isLarge()) {
    const [oldest = newest] = reports.keys();
    const key = findUnneeded(evidence, newest, now) ?? (isLarge() ? oldest : newest);
    if (key === newest) return;
    removeReport(evidence, key);
  }
};

const formatReport = ({ content, endpoint, progress }: CrashReport): string =>
  [endpoint, progress, ...listFingerprints(content)].join(' ');

const storeReport = (evidence: CrashEvidence, key: string, report: CrashReport): void => {
  const { byFingerprint, classes, numbers, reports, survivals } = evidence;
  const { content } = report;
  const number = evidence.nextNumber;
  evidence.nextNumber += 1;
  reports.set(key, report);
  numbers.set(report, number);
  const moves: ClassMoves = new Map();
  const fingerprints = listFingerprints(content);
  evidence.fingerprintCount += fingerprints.length;
  for (const fingerprint of fingerprints) {
    const related = byFingerprint.get(fingerprint) ?? new Set<CrashReport>();
    byFingerprint.set(fingerprint, related.add(report));
    const survivedAt = survivals.get(fingerprint) ?? -Infinity;
    if (survivedAt >= report.at) continue;
    const kind: SuspectKind = fingerprint === content.whole ? 'whole' : 'part';
    const proven = survivedAt === -Infinity ? kind : (`proven-${kind}` as const);
    addSuspect(classes, fingerprint, proven, [number, report], moves);
  }
};

/**
 * Adds a crash that this daemon or a peer observed. A repeated report does not count again.
 *
 * @param evidence - evidence to update
 * @param report - request that the endpoint had
 * @param now - current instant
 * @returns the fingerprints that are quarantined from now on
 */
export const addCrash = (
  evidence: CrashEvidence,
  report: CrashReport,
  now: Millis,
): readonly Fingerprint[] => {
  const key = formatReport(report);
  if (evidence.reports.has(key) || now - report.at >= CRASH_RETENTION_MS) return [];
  const fingerprints = [...new Set(listFingerprints(report.content))];
  const before = new Set(
    fingerprints.filter((fingerprint) => isQuarantined(evidence, fingerprint, now)),
  );
  storeReport(evidence, key, report);
  pruneReports(evidence, key, now);
  return fingerprints.filter(
    (fingerprint) => !before.has(fingerprint) && isQuarantined(evidence, fingerprint, now),
  );
};

/**
 * Adds a survival that this daemon or a peer observed. It clears the crashes before it.
 *
 * @param evidence - evidence to update
 * @param survival - fingerprint and instant
 */
export const addSurvival = (
  { classes, survivals }: CrashEvidence,
  { at, fingerprint }: Survival,
): void => {
  const newest = Math.max(at, survivals.get(fingerprint) ?? at);
  survivals.delete(fingerprint);
  survivals.set(fingerprint, newest);
  clearSuspect(classes, fingerprint, newest);
  const [oldest] = survivals.keys();
  if (survivals.size > MAX_PROVEN_FINGERPRINTS && oldest !== undefined) survivals.delete(oldest);
};

/** Finds a prompt part of a class that may be the cause of crashes and of which a request has all parts. */
const findDangerousPart = (
  { classes }: CrashEvidence,
  parts: readonly Fingerprint[],
  now: Millis,
): Fingerprint | null => {
  const leading = listLeadingClasses(classes);
  if (leading.size === 0) return null;
  const counts = new Map<SuspectClass, number>();
  for (const part of new Set(parts)) {
    const suspects = classes.byMember.get(part);
    if (suspects === undefined || !leading.has(suspects)) continue;
    if (!isClassQuarantined(suspects, now)) continue;
    const count = (counts.get(suspects) ?? 0) + 1;
    counts.set(suspects, count);
    if (suspects.kind === 'proven-part' || count === suspects.members.size) return part;
  }
  return null;
};

/**
 * Checks whether a request may be sent to an endpoint. The work grows with the number of its parts and
 * not with that of the parts of other requests.
 *
 * @param evidence - crashes and survivals
 * @param content - fingerprints of the request's content
 * @param now - current instant
 * @returns `quarantined` when endpoints crashed on the whole content, or on parts that the request
 *   has all of
 */
export const checkContent = (
  evidence: CrashEvidence,
  { parts, whole }: ContentFingerprints,
  now: Millis,
): ContentCheck => {
  const isWhole = whole !== null && isQuarantined(evidence, whole, now);
  const fingerprint = isWhole ? whole : findDangerousPart(evidence, parts, now);
  if (fingerprint === null) return { kind: 'accepted' };
  const at = evidence.classes.byMember.get(fingerprint)?.quarantinedAt ?? now;
  return { kind: 'quarantined', fingerprint, leftMs: at + CRASH_RETENTION_MS - now };
};

/**
 * Selects the fingerprints of a request that a crash of its endpoint counts against. A quarantined
 * part explains the crash, so that the rest is not blamed for it.
 *
 * @param evidence - crashes and survivals
 * @param content - fingerprints of the request's content
 * @param now - current instant
 * @returns the quarantined parts, or the whole content if there are none
 */
export const selectSuspects = (
  evidence: CrashEvidence,
  content: ContentFingerprints,
  now: Millis,
): ContentFingerprints => {
  const parts = content.parts.filter((part) => isQuarantined(evidence, part, now));
  return parts.length > 0 ? { whole: null, parts } : content;
};

/**
 * Lists the newest crashes for the other daemons, the strongest evidence first.
 *
 * @param evidence - crashes and survivals
 * @param since - earliest crash to include
 * @param limit - maximum number of crashes
 * @returns the crashes
 */
export const listCrashes = (
  { reports }: CrashEvidence,
  since: Millis,
  limit: number,
): readonly CrashReport[] =>
  [...reports.values()]
    .filter(({ at }) => at >= since)
    .sort(compareReports)
    .slice(0, limit);

/**
 * Lists the crashes of quarantined fingerprints, from which a daemon that started later learns of
 * the quarantines.
 *
 * @param evidence - crashes and survivals
 * @param now - current instant
 * @param limit - maximum number of crashes
 * @returns the crashes
 */
export const listQuarantineCrashes = (
  evidence: CrashEvidence,
  now: Millis,
  limit: number,
): readonly CrashReport[] =>
  [...evidence.reports.values()]
    .filter((report) => isQuarantineBasedOn(evidence, report, now))
    .sort(compareReports)
    .slice(0, limit);

/**
 * Lists the survivals of fingerprints among those of recent crashes, so that daemons which did not
 * observe the survivals do not blame these fingerprints.
 *
 * @param evidence - crashes and survivals
 * @param since - earliest crash or survival to include
 * @param limit - maximum number of survivals
 * @returns the survivals, newest first
 */
export const listSurvivals = (
  { byFingerprint, survivals }: CrashEvidence,
  since: Millis,
  limit: number,
): readonly Survival[] => {
  const recent: Survival[] = [];
  for (const [fingerprint, reports] of byFingerprint) {
    const at = survivals.get(fingerprint);
    if (at === undefined) continue;
    const isRecent = at >= since || [...reports].some((report) => report.at >= since);
    if (isRecent) recent.push({ fingerprint, at });
  }
  return recent.sort((left, right) => right.at - left.at).slice(0, limit);
};

/**
 * Lists the survivals that ended quarantines. A daemon that starts may read such a quarantine from
 * the store, which may have lost its end.
 *
 * @param evidence - crashes and survivals
 * @param now - current instant
 * @param limit - maximum number of survivals
 * @returns the survivals, newest first
 */
export const listEndedQuarantines = (
  { byFingerprint, survivals }: CrashEvidence,
  now: Millis,
  limit: number,
): readonly Survival[] => {
  const ended: Survival[] = [];
  for (const [fingerprint, reports] of byFingerprint) {
    const at = survivals.get(fingerprint);
    if (at === undefined) continue;
    const cleared = [...reports]
      .filter((report) => report.at <= at && now - report.at < CRASH_RETENTION_MS)
      .sort((left, right) => left.at - right.at);
    if (sumPoints(cleared) >= QUARANTINE_POINTS) ended.push({ fingerprint, at });
  }
  return ended.sort((left, right) => right.at - left.at).slice(0, limit);
};
