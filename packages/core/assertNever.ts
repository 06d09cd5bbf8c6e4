/**
 * Marks the default branch of an exhaustive switch over a union as unreachable.
 *
 * @param value - the switched value, which the type checker has narrowed to `never`
 * @throws Error when a value outside the union reaches the switch at run time
 */
export const assertNever = (value: never): never => {
  throw new Error(`unexpected variant: ${JSON.stringify(value)}`);
};
