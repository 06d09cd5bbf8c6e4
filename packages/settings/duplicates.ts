import type { z } from 'zod';

/**
 * Reports each item whose key field repeats that of an earlier item.
 *
 * @param items - items of one list
 * @param list - field that holds the list
 * @param key - field that must be unique in the list
 * @param context - receives the problems
 */
export const addDuplicateProblems = <Key extends string>(
  items: readonly Readonly<Record<Key, string>>[],
  list: string,
  key: Key,
  context: z.RefinementCtx,
): void => {
  const seen = new Set<string>();
  items.forEach((item, index) => {
    if (seen.has(item[key])) {
      context.addIssue({
        code: 'custom',
        path: [list, index, key],
        message: `expected a ${key} that no earlier item of ${list} has`,
      });
    }
    seen.add(item[key]);
  });
};
