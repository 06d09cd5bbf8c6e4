import type { z } from 'zod';

/**
 * Adds an issue for each item whose key field has the same value as that of an earlier item.
 *
 * @param items - items of one list
 * @param listName - name of the field that holds the list
 * @param key - field whose value must be unique in the list
 * @param context - refinement context that receives the issues
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
        message: `expected a unique ${key}, but an earlier item of ${listName} has the same one`,
      });
    }
    seen.add(item[key]);
  });
};
