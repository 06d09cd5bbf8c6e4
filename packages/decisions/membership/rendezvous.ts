/** Hash function of strings with evenly distributed results. */
export type StringHash = (text: string) => number;

/**
 * Chooses instances by rendezvous hashing: all that know the same instances choose the same ones,
 * and when an instance joins or leaves, only the choices that include it change.
 *
 * @param key - what the instances are chosen for
 * @param instances - names of the known instances, in any order
 * @param count - number of instances to choose
 * @param hash - hash function
 * @returns at most `count` instances, the highest score first
 */
export const chooseByRendezvous = (
  key: string,
  instances: readonly string[],
  count: number,
  hash: StringHash,
): readonly string[] =>
  instances
    .map((instance) => ({ instance, score: hash(`${key}\n${instance}`) }))
    .sort((left, right) => right.score - left.score || (left.instance < right.instance ? -1 : 1))
    .slice(0, count)
    .map(({ instance }) => instance);
