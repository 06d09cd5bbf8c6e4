import { MAX_SHARED_TEXTS } from './constants.js';
import type { ChainLink, IntentStreamRecord } from './types.js';
import { assertNever } from '../../core/assertNever.js';

/**
 * Texts that many chains have in common. Each record is parsed from JSON of its own, so without
 * this every chain would hold its own copy of the names of its customer, endpoint and daemons.
 */
export type SharedTexts = Map<string, string>;

const takeShared = (texts: SharedTexts, text: string): string => {
  const known = texts.get(text);
  if (known !== undefined) return known;
  // A new start costs copies only; it keeps names that are gone from piling up.
  if (texts.size >= MAX_SHARED_TEXTS) texts.clear();
  texts.set(text, text);
  return text;
};

const takeLink = (texts: SharedTexts, link: ChainLink | null): ChainLink | null =>
  link === null
    ? null
    : {
        ...link,
        endpoint: takeShared(texts, link.endpoint),
        incarnation: takeShared(texts, link.incarnation),
        entry: takeShared(texts, link.entry),
      };

/**
 * Replaces the texts of a record that recur in others by one copy of each.
 *
 * @param texts - texts seen so far, updated in place
 * @param record - checked record
 * @returns the record with shared texts
 */
export const takeSharedTexts = (
  texts: SharedTexts,
  record: IntentStreamRecord,
): IntentStreamRecord => {
  const customer = takeShared(texts, record.customer);
  switch (record.kind) {
    case 'intent':
      return {
        ...record,
        customer,
        endpoint: takeShared(texts, record.endpoint),
        incarnation: takeShared(texts, record.incarnation),
        entry: takeShared(texts, record.entry),
      };
    case 'carry-forward':
      return { ...record, customer, link: takeLink(texts, record.link) };
    case 'outcome':
    case 'abandoned':
      return { ...record, customer };
    default:
      return assertNever(record);
  }
};
