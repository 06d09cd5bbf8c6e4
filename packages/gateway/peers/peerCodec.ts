import type { CrashReportRow, GroupSummary, PeerMessage, PeerReport } from './types.js';
import type { Millis } from '../../core/clock.js';
import { parseJsonBytes } from '../../core/jsonText.js';

/** Numbers beyond 2^53 - 1 would make sums of several messages overflow. */
const isCount = (value: unknown): boolean =>
  typeof value === 'number' && Math.abs(value) <= Number.MAX_SAFE_INTEGER;

/** Bounds the size of a fleet, which makes the parts of its limits small for minutes. */
const MAX_FLEET_SIZE = 10_000;

const isFleetSize = (value: unknown): boolean =>
  Number.isInteger(value) && Number(value) >= 1 && Number(value) <= MAX_FLEET_SIZE;

const isLoadRow = (value: unknown): boolean =>
  Array.isArray(value) &&
  typeof value[0] === 'string' &&
  isCount(value[1]) &&
  isCount(value[2]) &&
  isCount(value[3]) &&
  (value[4] === undefined || isCount(value[4]));

const isLimitRow = (value: unknown): boolean =>
  Array.isArray(value) &&
  typeof value[0] === 'string' &&
  (value[1] === null || isCount(value[1])) &&
  isCount(value[2]) &&
  isCount(value[3]);

const isNamedNumber = (value: unknown): boolean =>
  Array.isArray(value) && typeof value[0] === 'string' && isCount(value[1]);

const isStringList = (value: unknown): boolean =>
  Array.isArray(value) && value.every((item) => typeof item === 'string');

const isCrashRow = (value: unknown): boolean =>
  Array.isArray(value) &&
  typeof value[0] === 'string' &&
  typeof value[1] === 'string' &&
  // A daemon of an earlier version reports neither progress nor age.
  (value.length === 2 ||
    ((value[2] === 'beginning' || value[2] === 'waiting') &&
      isCount(value[3]) &&
      isStringList(value[4])));

const isTransferRow = (value: unknown): boolean =>
  isNamedNumber(value) && typeof (value as readonly unknown[])[2] === 'string';

const isMemberRow = (value: unknown): boolean =>
  Array.isArray(value) &&
  typeof value[0] === 'string' &&
  typeof value[1] === 'string' &&
  typeof value[2] === 'string' &&
  isCount(value[3]);

const isListOf = (value: unknown, isRow: (row: unknown) => boolean): boolean =>
  Array.isArray(value) && value.every(isRow);

/** Contents that a daemon of an earlier version leaves out or sends in an earlier form. */
interface ReceivedContents {
  readonly fleet?: number;
  readonly crashes: readonly (CrashReportRow | readonly [whole: string, endpoint: string])[];
  readonly limits?: PeerReport['limits'];
  readonly survivals?: PeerReport['survivals'];
}

type ReceivedReport = Omit<PeerReport, 'kind' | 'dataCentre' | 'wants' | keyof ReceivedContents> &
  ReceivedContents &
  Partial<Pick<PeerReport, 'dataCentre' | 'wants'>>;

type ReceivedSummary = Omit<GroupSummary, keyof ReceivedContents> & ReceivedContents;

type Fields = Readonly<Record<string, unknown>>;

const hasContents = ({ crashes, fleet, leaving, limits, load, survivals }: Fields): boolean =>
  (fleet === undefined || isFleetSize(fleet)) &&
  isListOf(load, isLoadRow) &&
  isStringList(leaving) &&
  isListOf(crashes, isCrashRow) &&
  (limits === undefined || isListOf(limits, isLimitRow)) &&
  (survivals === undefined || isListOf(survivals, isNamedNumber));

const isReport = (fields: Fields): boolean =>
  fields.format === 2 &&
  typeof fields.process === 'string' &&
  (fields.dataCentre === undefined || typeof fields.dataCentre === 'string') &&
  (fields.wants === undefined || fields.wants === 'hosts' || fields.wants === 'nothing') &&
  isListOf(fields.transfers, isNamedNumber) &&
  isStringList(fields.hosts) &&
  hasContents(fields);

const isSummary = (fields: Fields): boolean =>
  fields.format === 3 &&
  typeof fields.group === 'string' &&
  (fields.hop === 'direct' || fields.hop === 'relayed') &&
  isListOf(fields.members, isMemberRow) &&
  isListOf(fields.transfers, isTransferRow) &&
  hasContents(fields);

/** A clock that was set back makes ages negative; they would name instants still to come. */
const toAge = (ageMs: Millis): Millis => Math.max(0, ageMs);

const toContents = ({ crashes, fleet = 1, limits = [], survivals = [] }: ReceivedContents) => ({
  fleet,
  limits: limits.map(([endpoint, requestsPerSecond, ageMs, requests]) => {
    return [endpoint, requestsPerSecond, toAge(ageMs), requests] as const;
  }),
  survivals: survivals.map(([fingerprint, ageMs]) => [fingerprint, toAge(ageMs)] as const),
  crashes: crashes.map(([whole, endpoint, progress = 'waiting', ageMs = 0, parts = []]) => {
    return [whole, endpoint, progress, toAge(ageMs), parts] as const;
  }),
});

/**
 * Decodes a datagram from another daemon.
 *
 * @param bytes - payload of the datagram
 * @returns the message, or null when it is invalid or has another format version
 */
export const decodePeerMessage = (bytes: Uint8Array): PeerMessage | null => {
  const json = parseJsonBytes(bytes);
  if (json.isErr() || typeof json.value !== 'object' || json.value === null) return null;
  const fields = json.value as Fields;
  if (isReport(fields)) {
    const report = json.value as ReceivedReport;
    return { dataCentre: '', wants: 'nothing', ...report, ...toContents(report), kind: 'report' };
  }
  if (isSummary(fields)) {
    const summary = json.value as ReceivedSummary;
    return { ...summary, ...toContents(summary), kind: 'summary' };
  }
  return null;
};
