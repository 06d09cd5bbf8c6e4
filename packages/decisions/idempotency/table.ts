import { applyStringPool } from './stringPool.js';
import type { StringPool } from './stringPool.js';
import { createChainState, foldChain, toChainState } from './chain.js';
import { MIN_EXPIRY_VISITS } from './constants.js';
import { isKeyExpired } from './keys.js';
import type {
  CarryForwardRecord,
  ChainRecord,
  ChainState,
  FoldResult,
  IntentStreamRecord,
  KeyCounts,
  KeySettings,
  TableStanding,
} from './types.js';
import type { Millis } from '../../core/clock.js';
import type { CustomerId, Offset } from '../../core/ids.js';

interface LoggedRecord {
  readonly offset: Offset;
  readonly record: ChainRecord;
}

/** A chain together with the data that corrects it while the table catches up. */
export interface TableChain {
  state: ChainState;
  /** State that contains every record below `baseAsOf`; undefined without known history. */
  base: ChainState | undefined;
  baseAsOf: Offset;
  /** Records at `baseAsOf` and above, kept only while the table catches up. */
  recordsSinceBase: LoggedRecord[];
  /** Offset of the last record that changed the chain. */
  lastOffset: Offset;
  /** The chain can be rebuilt from the records at this offset and above. */
  oldestNeededOffset: Offset;
  /** Time of the record at `oldestNeededOffset`, by its writer's clock. */
  oldestNeededAt: Millis;
}

/**
 * Intent chains of all keys that have not expired. The maps hold up to several hundred thousand
 * keys, so this module updates them in place; other modules only read them.
 */
export interface IntentTable {
  readonly settings: KeySettings;
  /** Ordered by `oldestNeededOffset` while the table is exact: chains due first come first. */
  readonly chains: Map<string, TableChain>;
  /** Position of the expiry sweep; null between two sweeps. */
  sweep: Iterator<TableChain> | null;
  readonly strings: StringPool;
  standing: TableStanding;
  nextOffset: Offset;
  untimedKeys: number;
}

/** Result of one read of the stream, with its records already parsed. */
export interface IntentBatch {
  readonly firstOffset: Offset;
  readonly nextOffset: Offset;
  readonly records: readonly { readonly offset: Offset; readonly record: IntentStreamRecord }[];
  /** `reached` when the read returned everything up to the end of the stream. */
  readonly end: 'reached' | 'more';
}

/**
 * Creates the table of a daemon that has not read the stream yet.
 *
 * @param settings - key window and bounds on the number of keys
 * @returns an empty table that is catching up
 */
export const createIntentTable = (settings: KeySettings): IntentTable => ({
  settings,
  chains: new Map(),
  sweep: null,
  strings: new Map(),
  standing: 'catching-up',
  nextOffset: 0,
  untimedKeys: 0,
});

/** Shared by all chains, because records are kept only while the table catches up. */
const NO_RECORDS: LoggedRecord[] = [];

const toChainId = (customer: CustomerId, key: string): string => `${customer}\u0000${key}`;

/**
 * Finds the chain of a key.
 *
 * @param table - intent table
 * @param customer - owner of the key
 * @param key - the caller's key
 * @returns state of the chain, or undefined when the key is unknown
 */
export const findChain = (
  table: IntentTable,
  customer: CustomerId,
  key: string,
): ChainState | undefined => table.chains.get(toChainId(customer, key))?.state;

/**
 * Counts the keys of a table.
 *
 * @param table - intent table
 * @returns the number of keys with and without a time of issue
 */
export const countKeys = (table: IntentTable): KeyCounts => ({
  timed: table.chains.size - table.untimedKeys,
  untimed: table.untimedKeys,
});

const addChain = (
  table: IntentTable,
  state: ChainState,
  offset: Offset,
  at: Millis,
): TableChain => {
  const chain: TableChain = {
    state,
    base: undefined,
    baseAsOf: 0,
    recordsSinceBase: NO_RECORDS,
    lastOffset: offset,
    oldestNeededOffset: offset,
    oldestNeededAt: at,
  };
  table.chains.set(toChainId(state.customer, state.key), chain);
  if (state.issuedAt === null) table.untimedKeys += 1;
  return chain;
};

const removeChain = (table: IntentTable, state: ChainState): void => {
  table.chains.delete(toChainId(state.customer, state.key));
  if (state.issuedAt === null) table.untimedKeys -= 1;
};

const foldChainRecord = (table: IntentTable, offset: Offset, record: ChainRecord): FoldResult => {
  const known = table.chains.get(toChainId(record.customer, record.key));
  const chain = known ?? addChain(table, createChainState(record), offset, record.at);
  const fold = foldChain(chain.state, record);
  if (fold.state !== chain.state) chain.lastOffset = offset;
  chain.state = fold.state;
  if (table.standing === 'catching-up') {
    if (chain.recordsSinceBase === NO_RECORDS) chain.recordsSinceBase = [];
    chain.recordsSinceBase.push({ offset, record });
  }
  return fold.result;
};

const replayRecords = (base: ChainState, records: readonly LoggedRecord[]): ChainState =>
  records.reduce((state, { record }) => foldChain(state, record).state, base);

/** Rebuilds a chain from its snapshot and the records that were read without their history. */
const applyCarryForward = (
  table: IntentTable,
  chain: TableChain,
  offset: Offset,
  record: CarryForwardRecord,
): void => {
  if (chain.base !== undefined && chain.baseAsOf >= record.asOf) return;
  if (chain.state.issuedAt === null) table.untimedKeys -= 1;
  chain.base = toChainState(record);
  chain.baseAsOf = record.asOf;
  chain.recordsSinceBase = chain.recordsSinceBase.filter((logged) => logged.offset >= record.asOf);
  chain.state = replayRecords(chain.base, chain.recordsSinceBase);
  if (chain.state.issuedAt === null) table.untimedKeys += 1;
  const first = chain.recordsSinceBase[0];
  chain.lastOffset = chain.recordsSinceBase.at(-1)?.offset ?? record.asOf - 1;
  chain.oldestNeededOffset = first?.offset ?? offset;
  chain.oldestNeededAt = first?.record.at ?? record.at;
};

const foldCarryForward = (
  table: IntentTable,
  offset: Offset,
  record: CarryForwardRecord,
): FoldResult => {
  const known = table.chains.get(toChainId(record.customer, record.key));
  const chain = known ?? addChain(table, toChainState(record), offset, record.at);
  if (table.standing === 'catching-up') {
    applyCarryForward(table, chain, offset, record);
  } else if (record.asOf > chain.lastOffset) {
    chain.oldestNeededOffset = offset;
    chain.oldestNeededAt = record.at;
    const id = toChainId(record.customer, record.key);
    table.chains.delete(id);
    table.chains.set(id, chain);
  }
  return 'carried';
};

/**
 * Folds one record in log order. A record below the table's next offset was folded before and is
 * ignored.
 *
 * @param table - intent table, updated in place
 * @param offset - offset of the record
 * @param record - parsed record
 * @param now - current time, for expiry
 * @returns effect of the record
 */
export const foldIntentRecord = (
  table: IntentTable,
  offset: Offset,
  record: IntentStreamRecord,
  now: Millis,
): FoldResult => {
  if (offset < table.nextOffset) return 'ignored';
  table.nextOffset = offset + 1;
  if (isKeyExpired(record.issuedAt, now, table.settings)) return 'expired';
  const shared = applyStringPool(table.strings, record);
  return shared.kind === 'carry-forward'
    ? foldCarryForward(table, offset, shared)
    : foldChainRecord(table, offset, shared);
};

/** Handles records dropped unread by retention: states are exact only up to the old offset. */
const openGap = (table: IntentTable, firstOffset: Offset): void => {
  if (table.standing === 'exact') {
    for (const chain of table.chains.values()) {
      chain.base = chain.state;
      chain.baseAsOf = table.nextOffset;
      chain.recordsSinceBase = NO_RECORDS;
    }
  }
  table.standing = 'catching-up';
  table.nextOffset = firstOffset;
};

const closeGap = (table: IntentTable): void => {
  if (table.standing === 'exact') return;
  table.standing = 'exact';
  const ordered = [...table.chains].sort(
    ([, left], [, right]) => left.oldestNeededOffset - right.oldestNeededOffset,
  );
  table.chains.clear();
  for (const [id, chain] of ordered) {
    chain.base = undefined;
    chain.recordsSinceBase = NO_RECORDS;
    table.chains.set(id, chain);
  }
};

/**
 * Folds the result of one read. When retention dropped unread records below `firstOffset`, the
 * table is inexact until a read reaches the end of the stream: the carry-forward records of the
 * dropped chains were appended before the drop, so they lie before that end.
 *
 * @param table - intent table, updated in place
 * @param batch - records and bounds of the read
 * @param now - current time
 * @returns effect of each record, in order
 */
export const foldIntentBatch = (
  table: IntentTable,
  batch: IntentBatch,
  now: Millis,
): readonly FoldResult[] => {
  if (batch.firstOffset > table.nextOffset) openGap(table, batch.firstOffset);
  const results = batch.records.map(({ offset, record }) =>
    foldIntentRecord(table, offset, record, now),
  );
  table.nextOffset = Math.max(table.nextOffset, batch.nextOffset);
  if (batch.end === 'reached') closeGap(table);
  return results;
};

/**
 * Chains with only early abandoned nonces expire after the key window by the time of their oldest
 * record. Without the chain, an intent of such a nonce only costs a fence request.
 */
const isExpiredEmptyChain = (chain: TableChain, now: Millis, settings: KeySettings): boolean =>
  chain.state.link === null && now > chain.oldestNeededAt + settings.keyWindowMs;

/**
 * Drops chains of expired keys. Each call visits a bounded number of chains and the next call
 * resumes there, because visiting several hundred thousand chains at once would block the event
 * loop.
 *
 * @param table - intent table, updated in place
 * @param now - current time
 * @param maxVisits - maximum number of chains to visit
 * @returns number of dropped chains
 */
export const expireChains = (
  table: IntentTable,
  now: Millis,
  maxVisits: number = MIN_EXPIRY_VISITS,
): number => {
  const { settings } = table;
  table.sweep ??= table.chains.values();
  let dropped = 0;
  for (let visit = 0; visit < maxVisits; visit += 1) {
    const next = table.sweep.next();
    if (next.done === true) {
      table.sweep = null;
      return dropped;
    }
    const chain = next.value;
    if (
      isKeyExpired(chain.state.issuedAt, now, settings) ||
      isExpiredEmptyChain(chain, now, settings)
    ) {
      removeChain(table, chain.state);
      dropped += 1;
    }
  }
  return dropped;
};
