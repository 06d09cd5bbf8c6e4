/** The same fields, all optional and without undefined values. */
type Present<Fields> = { readonly [Name in keyof Fields]?: Exclude<Fields[Name], undefined> };

/**
 * Removes the fields that are undefined, such as flags that were not given.
 *
 * @param fields - object whose fields may be undefined
 * @returns a copy with the defined fields only
 */
export const selectPresent = <Fields extends object>(fields: Fields): Present<Fields> =>
  Object.fromEntries(
    Object.entries(fields).filter(([, value]) => value !== undefined),
  ) as Present<Fields>;
