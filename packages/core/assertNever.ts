/**
 * Closes an exhaustive switch over a union.
 *
 * @param value - a value that the type checker has proved impossible
 * @throws Error when a value from outside the union reaches the switch at run time
 */
export const assertNever = (value: never): never => {
  throw new Error(`unexpected variant: ${JSON.stringify(value)}`);
};
