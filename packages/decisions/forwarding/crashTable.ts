import { CRASH_REFUSAL_THRESHOLD, CRASH_RETENTION_MS, MAX_CRASH_RECORDS } from './constants.js';
import type { Millis } from '../../core/clock.js';

/** Endpoints that crashed while they ran requests with the same content. */
interface CrashRecord {
  readonly endpoints: Set<string>;
  /** Instant of the latest crash. */
  at: Millis;
}

/**
 * Crashes of endpoints by the fingerprint of the request that they ran, oldest first. Only this
 * module updates it.
 */
export type CrashTable = Map<string, CrashRecord>;

/**
 * Creates an empty table.
 *
 * @returns the table
 */
export const createCrashTable = (): CrashTable => new Map();

/**
 * Records that an endpoint crashed while it ran a request. Above `MAX_CRASH_RECORDS`, the least
 * recently updated record is evicted.
 *
 * @param table - table to update
 * @param fingerprint - hash of the request's content
 * @param endpoint - endpoint that crashed
 * @param now - current instant
 */
export const recordCrash = (
  table: CrashTable,
  fingerprint: string,
  endpoint: string,
  now: Millis,
): void => {
  const known = table.get(fingerprint);
  const isStale = known === undefined || now - known.at > CRASH_RETENTION_MS;
  const record = isStale ? { endpoints: new Set<string>(), at: now } : known;
  record.endpoints.add(endpoint);
  record.at = now;
  table.delete(fingerprint);
  table.set(fingerprint, record);
  if (table.size <= MAX_CRASH_RECORDS) return;
  const oldest = table.keys().next().value;
  if (oldest !== undefined) table.delete(oldest);
};

/**
 * Decides whether a request is refused because too many endpoints crashed while they ran it.
 *
 * @param table - known crashes
 * @param fingerprint - hash of the request's content
 * @param now - current instant
 * @returns `refuse` from `CRASH_REFUSAL_THRESHOLD` different endpoints on
 */
export const checkCrashes = (
  table: CrashTable,
  fingerprint: string,
  now: Millis,
): 'accept' | 'refuse' => {
  const record = table.get(fingerprint);
  if (record === undefined || now - record.at > CRASH_RETENTION_MS) return 'accept';
  return record.endpoints.size >= CRASH_REFUSAL_THRESHOLD ? 'refuse' : 'accept';
};
