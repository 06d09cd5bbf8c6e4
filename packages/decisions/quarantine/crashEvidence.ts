import {
  CORRELATED_CRASH_MS,
  CRASH_RETENTION_MS,
  MAX_CRASH_REPORTS,
  MAX_PROVEN_FINGERPRINTS,
  PROVEN_QUARANTINE_POINTS,
  QUARANTINE_POINTS,
} from './constants.js';
import type { ContentFingerprints, Fingerprint } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';

/**
 * Progress of a request when its endpoint crashed. An endpoint that crashes on the content of a
 * request does so as it begins the answer, so a request that was beginning is a stronger suspect
 * than one that waited.
 */
export type CrashProgress = 'beginning' | 'waiting';

/** A request that an endpoint had and had not answered when it crashed. */
export interface CrashReport {
  /** Identity of the endpoint incarnation. */
  readonly endpoint: string;
  readonly progress: CrashProgress;
  readonly at: Millis;
  /** Content of the request that may be the cause. */
  readonly content: ContentFingerprints;
}

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
});

const listFingerprints = ({ parts, whole }: ContentFingerprints): readonly Fingerprint[] =>
  whole === null ? parts : [whole, ...parts];

const toPoints = (progress: CrashProgress): number => {
  switch (progress) {
    case 'beginning':
      return 2;
    case 'waiting':
      return 1;
    default:
      return assertNever(progress);
  }
};

const isCleared = ({ survivals }: CrashEvidence, fingerprint: Fingerprint, at: Millis): boolean =>
  (survivals.get(fingerprint) ?? -Infinity) >= at;

/** Lists the crashes since the last survival of a fingerprint, oldest first. */
const listOpenReports = (
  evidence: CrashEvidence,
  fingerprint: Fingerprint,
): readonly CrashReport[] =>
  [...(evidence.byFingerprint.get(fingerprint) ?? [])]
    .filter(({ at }) => !isCleared(evidence, fingerprint, at))
    .sort((left, right) => left.at - right.at);

/** Adds up the points of the crashes; of crashes at the same time only the greatest counts. */
const sumPoints = (reports: readonly CrashReport[]): number => {
  const endpoints = new Set<string>();
  let sum = 0;
  let startedAt = -Infinity;
  let greatest = 0;
  for (const { at, endpoint, progress } of reports) {
    const points = toPoints(progress);
    if (at - startedAt < CORRELATED_CRASH_MS || endpoints.has(endpoint)) {
      const gain = Math.max(0, points - greatest);
      greatest += gain;
      sum += gain;
    } else {
      startedAt = at;
      greatest = points;
      sum += points;
    }
    endpoints.add(endpoint);
  }
  return sum;
};

/** Returns the instant of the latest crash if it is at its limit of points, or null. */
const findQuarantinedAt = (
  evidence: CrashEvidence,
  fingerprint: Fingerprint,
  reports: readonly CrashReport[],
  now: Millis,
): Millis | null => {
  const last = reports.at(-1);
  if (last === undefined || now - last.at >= CRASH_RETENTION_MS) return null;
  // Most likely another part of the same requests caused the crashes.
  const isProven = evidence.survivals.has(fingerprint);
  const limit = isProven ? PROVEN_QUARANTINE_POINTS : QUARANTINE_POINTS;
  return sumPoints(reports) >= limit ? last.at : null;
};

/**
 * Lists the prompt parts that may be the cause of the crashes of a quarantined part, itself included.
 *
 * @param evidence - crashes and survivals
 * @param part - fingerprint of the quarantined part
 * @returns fingerprints of the parts
 */
export const listSuspectedParts = (
  evidence: CrashEvidence,
  part: Fingerprint,
): readonly Fingerprint[] => [
  ...new Set([part, ...listCommon(evidence, listOpenReports(evidence, part))]),
];

/**
 * Lists the prompt parts that all requests of the crashes had and that never survived. Any of them
 * may be the cause, so only a request with all of them is known to be dangerous.
 */
const listCommon = (
  { survivals }: CrashEvidence,
  reports: readonly CrashReport[],
): readonly Fingerprint[] => {
  const [first, ...others] = reports;
  return (first?.content.parts ?? []).filter(
    (part) => !survivals.has(part) && others.every(({ content }) => content.parts.includes(part)),
  );
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
): boolean =>
  findQuarantinedAt(evidence, fingerprint, listOpenReports(evidence, fingerprint), now) !== null;

const removeReport = ({ byFingerprint, reports }: CrashEvidence, key: string): void => {
  const report = reports.get(key);
  reports.delete(key);
  if (report === undefined) return;
  for (const fingerprint of listFingerprints(report.content)) {
    const related = byFingerprint.get(fingerprint);
    related?.delete(report);
    if (related?.size === 0) byFingerprint.delete(fingerprint);
  }
};

/** Drops the oldest report that no quarantine is based on. */
const pruneReports = (evidence: CrashEvidence, now: Millis): void => {
  if (evidence.reports.size <= MAX_CRASH_REPORTS) return;
  for (const [key, { content }] of evidence.reports) {
    if (listFingerprints(content).some((fingerprint) => isQuarantined(evidence, fingerprint, now)))
      continue;
    removeReport(evidence, key);
    return;
  }
};

const formatReport = ({ content, endpoint, progress }: CrashReport): string =>
  [endpoint, progress, ...listFingerprints(content)].join(' ');

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
  const fingerprints = listFingerprints(report.content);
  if (evidence.reports.has(key) || now - report.at >= CRASH_RETENTION_MS) return [];
  const before = fingerprints.filter((fingerprint) => isQuarantined(evidence, fingerprint, now));
  evidence.reports.set(key, report);
  for (const fingerprint of fingerprints) {
    const related = evidence.byFingerprint.get(fingerprint) ?? new Set<CrashReport>();
    evidence.byFingerprint.set(fingerprint, related.add(report));
  }
  pruneReports(evidence, now);
  return fingerprints.filter(
    (fingerprint) => !before.includes(fingerprint) && isQuarantined(evidence, fingerprint, now),
  );
};

/**
 * Adds a survival that this daemon or a peer observed. It clears the crashes before it.
 *
 * @param evidence - evidence to update
 * @param survival - fingerprint and instant
 */
export const addSurvival = ({ survivals }: CrashEvidence, { at, fingerprint }: Survival): void => {
  const newest = Math.max(at, survivals.get(fingerprint) ?? at);
  survivals.delete(fingerprint);
  survivals.set(fingerprint, newest);
  const [oldest] = survivals.keys();
  if (survivals.size > MAX_PROVEN_FINGERPRINTS && oldest !== undefined) survivals.delete(oldest);
};

/**
 * Checks whether a request may be sent to an endpoint.
 *
 * @param evidence - crashes and survivals
 * @param content - fingerprints of the request's content
 * @param now - current instant
 * @returns `quarantined` when endpoints crashed on the whole content, or on parts that the request
 *   has all of
 */
export const checkContent = (
  evidence: CrashEvidence,
  content: ContentFingerprints,
  now: Millis,
): ContentCheck => {
  for (const fingerprint of listFingerprints(content)) {
    const reports = listOpenReports(evidence, fingerprint);
    const at = findQuarantinedAt(evidence, fingerprint, reports, now);
    if (at === null) continue;
    const isComplete = listCommon(evidence, reports).every((part) => content.parts.includes(part));
    if (fingerprint !== content.whole && !isComplete) continue;
    return { kind: 'quarantined', fingerprint, leftMs: at + CRASH_RETENTION_MS - now };
  }
  return { kind: 'accepted' };
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

const compareReports = (left: CrashReport, right: CrashReport): number =>
  toPoints(right.progress) - toPoints(left.progress) || right.at - left.at;

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
    .filter(({ content }) =>
      listFingerprints(content).some((fingerprint) => isQuarantined(evidence, fingerprint, now)),
    )
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
