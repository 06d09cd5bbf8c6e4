import type { z } from 'zod';

/**
 * Reports each item whose key field repeats that of an earlier item.
 *
 * @param items - items of one list
 * @param listName - field that holds the list
 * @param key - field that must be unique in the list
 * @param context - receives the problems
 */
export const addDuplicateIssues = <Key extends string>(
  items: readonly Readonly<Record<Key, string>>[],
  listName: string,
  key: Key,
  context: z.RefinementCtx,
): void => {
  const seen = new Set<string>();
  items.forEach((item, index) => {
    if (seen.has(item[key])) {
      context.addIssue({
        code: 'custom',
        path: [listName, index, key],
        message: `expected a ${key} that no earlier item of ${listName} has`,
      });
    }
    seen.add(item[key]);
  });
};
