import { INTENT_FORMAT } from './constants.js';
import { isKeyExpired } from './keys.js';
import type { IntentTable, TableChain } from './table.js';
import type { CarryForwardRecord, ChainState } from './types.js';
import type { Millis } from '../../core/clock.js';
import type { Offset } from '../../core/ids.js';

export interface RetentionInfo {
  /** Offset of the oldest record that the log retains. */
  readonly firstOffset: Offset;
  readonly now: Millis;
  /** Age of a record at which its chain is carried; well below the log's retention time. */
  readonly carryAfterMs: Millis;
  /** Maximum number of records in one plan. */
  readonly maxRecords: number;
}

const isDue = (chain: TableChain, table: IntentTable, info: RetentionInfo): boolean => {
  if (info.now - chain.oldestNeededAt >= info.carryAfterMs) return true;
  // With retention by count there is no age to compare, so the older half of the log is due.
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
 * Plans the carry-forward records to append before retention drops the records of their chains.
 * Several daemons may append them at the same time, because a second snapshot of a chain has no
 * effect.
 *
 * @param table - intent table; nothing is planned while it is catching up
 * @param info - state of the log's retention and bound of the plan
 * @returns records to append, the most urgent chain first
 */
export const planCarryForward = (
  table: IntentTable,
  info: RetentionInfo,
): readonly CarryForwardRecord[] => {
  if (table.standing !== 'exact') return [];
  const records: CarryForwardRecord[] = [];
  for (const chain of table.chains.values()) {
    // The table is ordered by the time at which chains become due.
    if (records.length >= info.maxRecords || !isDue(chain, table, info)) break;
    if (isKeyExpired(chain.state.issuedAt, info.now, table.settings)) continue;
    records.push(toCarryForwardRecord(chain.state, table.nextOffset, info.now));
  }
  return records;
};
