import { applyStringPool } from './sharedTexts.js';
import type { StringPool } from './sharedTexts.js';
import { createChainState, foldChain, toChainState } from './chain.js';
import { MIN_EXPIRY_VISITS } from './constants.js';
import { isKeyExpired } from './keys.js';
import type {
  CarryForwardRecord,
  ChainRecord,
  ChainState,
  FoldResult,
  IntentStreamRecord,
  KeptKeys,
  KeySettings,
  TableStanding,
} from './types.js';
import type { Millis } from '../../core/clock.js';
import type { CustomerId, Offset } from '../../core/ids.js';

interface LoggedRecord {
  readonly offset: Offset;
  readonly record: ChainRecord;
}

/** One chain together with what is needed to correct it while the table catches up. */
export interface TableChain {
  state: ChainState;
  /** State that contains every record below `baseAsOf`; undefined without known history. */
  base: ChainState | undefined;
  baseAsOf: Offset;
  /** Records from `baseAsOf` on, kept only while the table catches up. */
  recordsSinceBase: LoggedRecord[];
  /** Offset of the last record that changed the chain. */
  lastOffset: Offset;
  /** The chain can be rebuilt from the records at this offset and above. */
  oldestNeededOffset: Offset;
  /** Writer's time of the record at `coverOffset`. */
  oldestNeededAt: Millis;
}

/**
 * Intent chains of all kept keys. The maps hold up to several hundred thousand keys, so this module
 * updates them in place; other modules only read them.
 */
export interface IntentTable {
  readonly settings: KeySettings;
  /** While the table is exact, in the order of `coverOffset`: the chains due first come first. */
  readonly chains: Map<string, TableChain>;
  /** Where the search for expired chains goes on. */
  sweep: Iterator<TableChain> | null;
  readonly texts: StringPool;
  standing: TableStanding;
  nextOffset: Offset;
  untimedKeys: number;
}

/** Answer of one read of the stream, with its records already checked. */
export interface IntentBatch {
  readonly firstOffset: Offset;
  readonly nextOffset: Offset;
  readonly records: readonly { readonly offset: Offset; readonly record: IntentStreamRecord }[];
  /** `reached` when the read returned everything that the stream held. */
  readonly end: 'reached' | 'more';
}

/**
 * Creates the table of a daemon that has read nothing yet.
 *
 * @param settings - kept window and bound of untimed keys
 * @returns an empty table that is catching up
 */
export const createIntentTable = (settings: KeySettings): IntentTable => ({
  settings,
  chains: new Map(),
  sweep: null,
  texts: new Map(),
  standing: 'catching-up',
  nextOffset: 0,
  untimedKeys: 0,
});

/** Shared by all chains, because only a table that catches up keeps records. */
const NO_RECORDS: LoggedRecord[] = [];

const toChainId = (customer: CustomerId, key: string): string => `${customer}\u0000${key}`;

/**
 * Finds the chain of a key.
 *
 * @param table - the table
 * @param customer - owner of the key
 * @param key - the caller's key
 * @returns the chain's state, or undefined when the key is new
 */
export const findChain = (
  table: IntentTable,
  customer: CustomerId,
  key: string,
): ChainState | undefined => table.chains.get(toChainId(customer, key))?.state;

/**
 * Counts the keys of a table.
 *
 * @param table - the table
 * @returns numbers of keys with and without a time of issue
 */
export const countKeys = (table: IntentTable): KeptKeys => ({
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

/** Puts a carried state under the records that were read without their history. */
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
 * Folds one record in log order. A record below the table's offset was folded before and is
 * ignored.
 *
 * @param table - the table, updated in place
 * @param offset - offset of the record
 * @param record - the checked record
 * @param now - current instant, for expiry
 * @returns what the record did
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
  const shared = applyStringPool(table.texts, record);
  return shared.kind === 'carry-forward'
    ? foldCarryForward(table, offset, shared)
    : foldChainRecord(table, offset, shared);
};

/** Retention dropped unread records, so states are exact only up to the table's offset. */
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
 * Folds the answer of one read. A gap below `firstOffset` makes the table inexact until a read
 * reaches the end of the stream: the records that carry the dropped chains forward were appended
 * before the drop, so they lie before that end.
 *
 * @param table - the table, updated in place
 * @param batch - records and bounds of the read
 * @param now - current instant
 * @returns what each record did, in order
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

/** A chain that holds only early abandoned nonces; without it their intents cost a fence. */
const isExpiredEmptyChain = (chain: TableChain, now: Millis, settings: KeySettings): boolean =>
  chain.state.link === null && now > chain.oldestNeededAt + settings.keyWindowMs;

/**
 * Drops chains of expired keys. A call visits a bounded number of chains and the next one goes on
 * from there, because a visit of several hundred thousand chains would hold up the loop.
 *
 * @param table - the table, updated in place
 * @param now - current instant
 * @param maxVisits - number of chains to look at
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
