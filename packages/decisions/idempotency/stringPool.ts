import { MAX_POOLED_STRINGS } from './constants.js';
import type { ChainLink, IntentStreamRecord } from './types.js';
import { assertNever } from '../../core/assertNever.js';

/**
 * Interned strings. Each record is parsed from a separate JSON document, so without interning every
 * chain would hold its own copy of the names of its customer, endpoint and daemons.
 */
export type StringPool = Map<string, string>;

const getPooled = (pool: StringPool, value: string): string => {
  const known = pool.get(value);
  if (known !== undefined) return known;
  // Clearing releases strings that are no longer in use and only duplicates the others.
  if (pool.size >= MAX_POOLED_STRINGS) pool.clear();
  pool.set(value, value);
  return value;
};

const getPooledLink = (pool: StringPool, link: ChainLink | null): ChainLink | null =>
  link === null
    ? null
    : {
        ...link,
        endpoint: getPooled(pool, link.endpoint),
        incarnation: getPooled(pool, link.incarnation),
        entry: getPooled(pool, link.entry),
      };

/**
 * Interns the names in a record that recur in other records.
 *
 * @param pool - interned strings, updated in place
 * @param record - validated record
 * @returns a copy of the record with interned names
 */
export const applyStringPool = (
  pool: StringPool,
  record: IntentStreamRecord,
): IntentStreamRecord => {
  const customer = getPooled(pool, record.customer);
  switch (record.kind) {
    case 'intent':
      return {
        ...record,
        customer,
        endpoint: getPooled(pool, record.endpoint),
        incarnation: getPooled(pool, record.incarnation),
        entry: getPooled(pool, record.entry),
      };
    case 'carry-forward':
      return { ...record, customer, link: getPooledLink(pool, record.link) };
    case 'outcome':
    case 'abandoned':
      return { ...record, customer };
    default:
      return assertNever(record);
  }
};
