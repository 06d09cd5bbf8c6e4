import { INTENT_FORMAT } from './constants.js';
import { isKeyExpired } from './keys.js';
import type { IntentTable, TableChain } from './table.js';
import type { CarryForwardRecord, ChainState } from './types.js';
import type { Millis } from '../../core/clock.js';
import type { Offset } from '../../core/ids.js';

export interface RetentionInfo {
  /** Oldest offset that the log still holds. */
  readonly firstOffset: Offset;
  readonly now: Millis;
  /** Age of a record after which its chain is carried; well below the log's retention time. */
  readonly carryAfterMs: Millis;
  /** Largest number of records in one plan. */
  readonly maxRecords: number;
}

const isDue = (chain: TableChain, table: IntentTable, info: RetentionInfo): boolean => {
  if (info.now - chain.oldestNeededAt >= info.carryAfterMs) return true;
  // A log that drops by count has no age to compare: the older half of what it holds is due.
  const middle = info.firstOffset + (table.nextOffset - info.firstOffset) / 2;
  return info.firstOffset > 0 && chain.oldestNeededOffset < middle;
};

const toCarryForwardRecord = (
  state: ChainState,
  asOf: Offset,
  now: Millis,
): CarryForwardRecord => ({
  kind: 'carry-forward',
  format: INTENT_FORMAT,
  customer: state.customer,
  key: state.key,
  issuedAt: state.issuedAt,
  at: now,
  fingerprint: state.fingerprint,
  asOf,
  link: state.link,
  abandonedEarly: state.abandonedEarly,
});

/**
 * Plans the records that must be appended again before retention drops them. Several daemons may
 * do so at once: a second copy of a chain's state changes nothing.
 *
 * @param table - the table; an inexact one plans nothing
 * @param info - bounds of the log and of the plan
 * @returns records to append, the most urgent chain first
 */
export const planCarryForward = (
  table: IntentTable,
  info: RetentionInfo,
): readonly CarryForwardRecord[] => {
  if (table.standing !== 'exact') return [];
  const records: CarryForwardRecord[] = [];
  for (const chain of table.chains.values()) {
    // The chains are in the order in which they become due.
    if (records.length >= info.maxRecords || !isDue(chain, table, info)) break;
    if (isKeyExpired(chain.state.issuedAt, info.now, table.settings)) continue;
    records.push(toCarryForwardRecord(chain.state, table.nextOffset, info.now));
  }
  return records;
};
