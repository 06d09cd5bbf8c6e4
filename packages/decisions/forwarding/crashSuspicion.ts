import { CRASHES_TO_REFUSE, CRASH_MEMORY_MS, MAX_CRASH_RECORDS } from './constants.js';
import type { Millis } from '../../core/clock.js';

/** Crashes after one request content; `endpoints` tells them apart. */
interface CrashRecord {
  readonly endpoints: Set<string>;
  at: Millis;
}

/**
 * Requests whose endpoints crashed while they ran, by fingerprint of the content. Only this module
 * updates it.
 */
export type CrashTable = Map<string, CrashRecord>;

/**
 * Creates an empty table.
 *
 * @returns the table
 */
export const createCrashTable = (): CrashTable => new Map();

/**
 * Adds a crash of an endpoint that ran a request.
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
  const isStale = known === undefined || now - known.at > CRASH_MEMORY_MS;
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
 * Tells whether a request has crashed so many endpoints that it is refused.
 *
 * @param table - known crashes
 * @param fingerprint - hash of the request's content
 * @param now - current instant
 * @returns `refuse` above the bound
 */
export const checkCrashes = (
  table: CrashTable,
  fingerprint: string,
  now: Millis,
): 'accept' | 'refuse' => {
  const record = table.get(fingerprint);
  if (record === undefined || now - record.at > CRASH_MEMORY_MS) return 'accept';
  return record.endpoints.size >= CRASHES_TO_REFUSE ? 'refuse' : 'accept';
};
