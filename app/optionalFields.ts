/** The same fields, where a missing one is left out in place of undefined. */
type Present<Fields> = { readonly [Name in keyof Fields]?: Exclude<Fields[Name], undefined> };

/**
 * Leaves out the fields without a value, such as flags that were not given.
 *
 * @param fields - fields, some of them undefined
 * @returns the others
 */
export const selectPresent = <Fields extends object>(fields: Fields): Present<Fields> =>
  Object.fromEntries(
    Object.entries(fields).filter(([, value]) => value !== undefined),
  ) as Present<Fields>;
