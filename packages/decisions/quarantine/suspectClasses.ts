import {
  CORRELATED_CRASH_MS,
  CRASH_RETENTION_MS,
  MAX_LEADING_CLASSES,
  PROVEN_QUARANTINE_POINTS,
  QUARANTINE_POINTS,
} from './constants.js';
import type { CrashProgress, CrashReport, Fingerprint } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';

/**
 * What a fingerprint stands for, and whether a request with it was ever answered. Several parts share a
 * cause, whereas the content of a request is one on its own.
 */
export type SuspectKind = 'whole' | 'part' | 'proven-whole' | 'proven-part';

/**
 * Fingerprints that the same crashes suspect, so that what holds for one of them holds for all. It is
 * decided once for each class and not for each of its members.
 */
export interface SuspectClass {
  readonly key: string;
  readonly kind: SuspectKind;
  /** Crashes since the last survival of the members, by their numbers. */
  readonly reports: ReadonlyMap<number, CrashReport>;
  readonly members: Set<Fingerprint>;
  /** Instant of the latest crash if there are enough for a quarantine, or null. */
  readonly quarantinedAt: Millis | null;
}

/** Classes by their keys and by their members. Only this module updates the tables. */
export interface SuspectClasses {
  readonly byKey: Map<string, SuspectClass>;
  readonly byMember: Map<Fingerprint, SuspectClass>;
  /** Result of `listLeadingClasses`; null after a class was added or removed. */
  leading: ReadonlySet<SuspectClass> | null;
}

/** Classes to which the members of others move in one change; they are looked up once for each class. */
export type ClassMoves = Map<SuspectClass | SuspectKind, SuspectClass | null>;

/**
 * Creates tables without classes.
 *
 * @returns the tables
 */
export const createSuspectClasses = (): SuspectClasses => ({
  byKey: new Map(),
  byMember: new Map(),
  leading: null,
});

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

/**
 * Compares two crashes by the strength of their evidence, then by their age.
 *
 * @param left - crash
 * @param right - crash
 * @returns a negative number if the left one comes first
 */
export const compareReports = (left: CrashReport, right: CrashReport): number =>
  toPoints(right.progress) - toPoints(left.progress) || right.at - left.at;

/**
 * Adds up the points of crashes; of crashes at the same time only the greatest counts.
 *
 * @param reports - crashes, oldest first
 * @returns the sum
 */
export const sumPoints = (reports: readonly CrashReport[]): number => {
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

const getPointLimit = (kind: SuspectKind): number => {
  switch (kind) {
    case 'whole':
    case 'part':
      return QUARANTINE_POINTS;
    // Most likely another part of the same requests caused the crashes.
    case 'proven-whole':
    case 'proven-part':
      return PROVEN_QUARANTINE_POINTS;
    default:
      return assertNever(kind);
  }
};

const findQuarantinedAt = (
  kind: SuspectKind,
  reports: ReadonlyMap<number, CrashReport>,
): Millis | null => {
  const sorted = [...reports.values()].sort((left, right) => left.at - right.at);
  const last = sorted.at(-1);
  return last !== undefined && sumPoints(sorted) >= getPointLimit(kind) ? last.at : null;
};

/** Finds or creates the class of a kind with certain crashes, which are in the order of their numbers. */
const openClass = (
  { byKey }: SuspectClasses,
  kind: SuspectKind,
  reports: ReadonlyMap<number, CrashReport>,
): SuspectClass | null => {
  if (reports.size === 0) return null;
  const key = `${kind} ${[...reports.keys()].join(' ')}`;
  const known = byKey.get(key);
  if (known !== undefined) return known;
  const quarantinedAt = findQuarantinedAt(kind, reports);
  return { key, kind, reports, members: new Set(), quarantinedAt };
};

/** Moves a fingerprint to a class; null removes it from its own. */
const transferMember = (
  classes: SuspectClasses,
  fingerprint: Fingerprint,
  target: SuspectClass | null,
): void => {
  const { byKey, byMember } = classes;
  const before = byMember.get(fingerprint) ?? null;
  if (before === target) return;
  if (before !== null) {
    before.members.delete(fingerprint);
    byMember.delete(fingerprint);
    if (before.members.size === 0) {
      byKey.delete(before.key);
      classes.leading = null;
    }
  }
  if (target === null) return;
  if (target.members.size === 0) {
    byKey.set(target.key, target);
    classes.leading = null;
  }
  target.members.add(fingerprint);
  byMember.set(fingerprint, target);
};

/** Moves a fingerprint as all members of its class move in this change. */
const transferAlike = (
  classes: SuspectClasses,
  fingerprint: Fingerprint,
  from: SuspectClass | SuspectKind,
  moves: ClassMoves,
  findTarget: () => SuspectClass | null,
): void => {
  const known = moves.get(from);
  const target = known === undefined ? findTarget() : known;
  moves.set(from, target);
  transferMember(classes, fingerprint, target);
};

/**
 * Counts a crash against a fingerprint.
 *
 * @param classes - tables to update
 * @param fingerprint - suspect
 * @param kind - its kind, if no other crash suspects it
 * @param report - number and crash, newer than all others in the tables
 * @param moves - moves of the same crash
 */
export const addSuspect = (
  classes: SuspectClasses,
  fingerprint: Fingerprint,
  kind: SuspectKind,
  [number, report]: readonly [number, CrashReport],
  moves: ClassMoves,
): void => {
  const before = classes.byMember.get(fingerprint);
  transferAlike(classes, fingerprint, before ?? kind, moves, () =>
    openClass(
      classes,
      before?.kind ?? kind,
      new Map([...(before?.reports ?? []), [number, report]]),
    ),
  );
};

/**
 * Takes a crash back that counted against a fingerprint.
 *
 * @param classes - tables to update
 * @param fingerprint - suspect
 * @param number - number of the crash
 * @param moves - moves of the same crash
 */
export const removeSuspect = (
  classes: SuspectClasses,
  fingerprint: Fingerprint,
  number: number,
  moves: ClassMoves,
): void => {
  const before = classes.byMember.get(fingerprint);
  if (before?.reports.has(number) !== true) return;
  transferAlike(classes, fingerprint, before, moves, () => {
    const reports = new Map(before.reports);
    reports.delete(number);
    return openClass(classes, before.kind, reports);
  });
};

const toProven = (kind: SuspectKind): SuspectKind => {
  switch (kind) {
    case 'whole':
    case 'proven-whole':
      return 'proven-whole';
    case 'part':
    case 'proven-part':
      return 'proven-part';
    default:
      return assertNever(kind);
  }
};

/**
 * Clears the crashes of a fingerprint before a survival.
 *
 * @param classes - tables to update
 * @param fingerprint - fingerprint that survived
 * @param at - instant of the survival
 */
export const clearSuspect = (
  classes: SuspectClasses,
  fingerprint: Fingerprint,
  at: Millis,
): void => {
  const before = classes.byMember.get(fingerprint);
  if (before === undefined) return;
  const open = new Map([...before.reports].filter(([, report]) => report.at > at));
  transferMember(classes, fingerprint, openClass(classes, toProven(before.kind), open));
};

/**
 * Reports whether the members of a class are quarantined.
 *
 * @param suspects - class, or undefined for a fingerprint without crashes
 * @param now - current instant
 * @returns true until the quarantine ends
 */
export const isClassQuarantined = (suspects: SuspectClass | undefined, now: Millis): boolean =>
  suspects !== undefined &&
  suspects.quarantinedAt !== null &&
  now - suspects.quarantinedAt < CRASH_RETENTION_MS;

const isPartKind = (kind: SuspectKind): boolean => toProven(kind) === 'proven-part';

/** Reports whether a class had a part in all crashes of another one, so that it may be their cause. */
const isExplainedBy = (suspects: SuspectClass, cause: SuspectClass): boolean =>
  cause.kind === 'part' &&
  cause.reports.size >= suspects.reports.size &&
  [...suspects.reports.keys()].every((number) => cause.reports.has(number));

/**
 * Finds the classes of prompt parts that may be the cause of crashes: enough crashes suspect them, and
 * no other parts had a part in all of these and in more. A request with the parts of another class that
 * is suspected has all parts of such a class, too, or is not known to be dangerous.
 *
 * @param classes - tables; the result is kept in them
 * @returns the classes, `MAX_LEADING_CLASSES` with the most crashes
 */
export const listLeadingClasses = (classes: SuspectClasses): ReadonlySet<SuspectClass> => {
  if (classes.leading !== null) return classes.leading;
  const candidates = [...classes.byKey.values()]
    .filter(({ kind, quarantinedAt }) => quarantinedAt !== null && isPartKind(kind))
    .sort(
      (left, right) =>
        right.reports.size - left.reports.size ||
        getPointLimit(left.kind) - getPointLimit(right.kind),
    );
  const leading: SuspectClass[] = [];
  for (const candidate of candidates) {
    if (leading.length === MAX_LEADING_CLASSES) break;
    if (!leading.some((cause) => isExplainedBy(candidate, cause))) leading.push(candidate);
  }
  classes.leading = new Set(leading);
  return classes.leading;
};
