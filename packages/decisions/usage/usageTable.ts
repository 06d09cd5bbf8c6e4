import { KEPT_WINDOWS, MAX_COLLECT_SHARE, MAX_SOURCES, SETTLE_MS } from './constants.js';
import type { UsageCounts, UsageMessage, UsageTimes, WindowNumber, WindowUsage } from './types.js';
import type { Millis } from '../../core/clock.js';
import type { CustomerId } from '../../core/ids.js';

/** Newest counts of one process in one window. */
interface SourceUsage extends Pick<WindowUsage, 'phase' | 'counts'> {
  readonly host: string;
  readonly sequence: number;
}

/** Counts by window and process. Only the `usage` child updates the maps, in place. */
export interface UsageTable {
  readonly own: Map<WindowNumber, Map<CustomerId, number>>;
  readonly received: Map<WindowNumber, Map<string, SourceUsage>>;
}

/**
 * Creates a table without counts.
 *
 * @returns the table
 */
export const createUsageTable = (): UsageTable => ({ own: new Map(), received: new Map() });

/**
 * Finds the window of an instant.
 *
 * @param wall - time of day
 * @param windowMs - length of a window
 * @returns its number
 */
export const findWindow = (wall: Millis, windowMs: Millis): WindowNumber =>
  Math.floor(wall / windowMs);

/**
 * Counts a request that an endpoint began to run.
 *
 * @param table - counts, updated in place
 * @param window - window of the beginning
 * @param customer - customer of the request
 */
export const countRun = ({ own }: UsageTable, window: WindowNumber, customer: CustomerId): void => {
  const counts = own.get(window) ?? new Map<CustomerId, number>();
  counts.set(customer, (counts.get(customer) ?? 0) + 1);
  own.set(window, counts);
};

/**
 * Lists the counts of this process.
 *
 * @param table - counts
 * @param current - window of the present, which is still open
 * @returns the kept windows, also those without requests, so that others learn that they are closed
 */
export const listOwnUsage = ({ own }: UsageTable, current: WindowNumber): readonly WindowUsage[] =>
  Array.from({ length: KEPT_WINDOWS }, (_, index) => current - index).map((window) => ({
    window,
    phase: window < current ? 'closed' : 'open',
    counts: own.get(window) ?? new Map<CustomerId, number>(),
  }));

/**
 * Adds the counts that another process sent. They replace its earlier ones, so that a message that is
 * lost, repeated or late changes no sum.
 *
 * @param table - counts, updated in place
 * @param message - counts of the other process
 * @param current - window of the present; windows that are no longer kept are ignored
 */
export const receiveUsage = (
  { received }: UsageTable,
  { host, incarnation, sequence, windows }: UsageMessage,
  current: WindowNumber,
): void => {
  const source = `${host}/${incarnation}`;
  for (const { counts, phase, window } of windows) {
    if (window <= current - KEPT_WINDOWS || window > current + 1) continue;
    const sources = received.get(window) ?? new Map<string, SourceUsage>();
    const known = sources.get(source);
    if (known !== undefined && known.sequence >= sequence) continue;
    if (known === undefined && sources.size >= MAX_SOURCES) continue;
    sources.set(source, { host, sequence, phase, counts });
    received.set(window, sources);
  }
};

/**
 * Sums the counts of all processes in a window.
 *
 * @param table - counts
 * @param window - number of the window
 * @returns the sums by customer
 */
export const sumWindow = ({ own, received }: UsageTable, window: WindowNumber): UsageCounts => {
  const sums = new Map(own.get(window) ?? []);
  for (const { counts } of received.get(window)?.values() ?? []) {
    for (const [customer, count] of counts) sums.set(customer, (sums.get(customer) ?? 0) + count);
  }
  return sums;
};

/**
 * Reports whether the counts of a window can be fixed: all daemons have closed it, or those that have
 * not are not waited for any longer.
 *
 * @param table - counts
 * @param window - number of the window
 * @param hosts - hosts of the other daemons
 * @param wall - time of day
 * @param times - length of a window and time in which its report is due
 * @returns true when nothing more is waited for
 */
export const isWindowSettled = (
  { received }: UsageTable,
  window: WindowNumber,
  hosts: readonly string[],
  wall: Millis,
  { dueMs, windowMs }: UsageTimes,
): boolean => {
  const sinceEndMs = wall - (window + 1) * windowMs;
  if (sinceEndMs < SETTLE_MS) return false;
  if (sinceEndMs >= dueMs * MAX_COLLECT_SHARE) return true;
  const closed = new Set<string>();
  for (const { host, phase } of received.get(window)?.values() ?? []) {
    if (phase === 'closed') closed.add(host);
  }
  return hosts.every((host) => closed.has(host));
};

/**
 * Removes the windows that are no longer kept.
 *
 * @param table - counts, updated in place
 * @param current - window of the present
 */
export const pruneUsage = ({ own, received }: UsageTable, current: WindowNumber): void => {
  for (const windows of [own, received]) {
    for (const window of windows.keys()) {
      if (window <= current - KEPT_WINDOWS || window > current + 1) windows.delete(window);
    }
  }
};
