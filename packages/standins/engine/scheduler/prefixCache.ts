/** Entry of the prefix cache. */
export interface CachedPrefix {
  /** Hash of the prefix. */
  readonly prefix: string;
  readonly tokens: number;
}

/** Cached prefixes, least recently used first. */
export type PrefixCache = readonly CachedPrefix[];

/** Change of the cache, published as a cache event. */
export interface CacheChange {
  readonly kind: 'stored' | 'evicted';
  readonly prefix: string;
}

/**
 * Counts the tokens of all cached prefixes.
 *
 * @param cache - cached prefixes
 * @returns tokens
 */
export const countCachedTokens = (cache: PrefixCache): number =>
  cache.reduce((sum, { tokens }) => sum + tokens, 0);

/**
 * Finds the number of tokens that a cached prefix covers.
 *
 * @param cache - cached prefixes
 * @param prefix - hash of the prefix
 * @returns tokens; 0 if the prefix is not cached
 */
export const findCachedTokens = (cache: PrefixCache, prefix: string): number =>
  cache.find((entry) => entry.prefix === prefix)?.tokens ?? 0;

/**
 * Marks a prefix as the most recently used.
 *
 * @param cache - cached prefixes
 * @param prefix - hash of the prefix
 * @returns the cache, unchanged if the prefix is not cached
 */
export const updateRecency = (cache: PrefixCache, prefix: string): PrefixCache => {
  const used = cache.find((entry) => entry.prefix === prefix);
  if (used === undefined || used === cache.at(-1)) return cache;
  return [...cache.filter((entry) => entry !== used), used];
};

/**
 * Evicts the least recently used prefixes until enough tokens are free.
 *
 * @param cache - cached prefixes
 * @param neededTokens - tokens to free
 * @returns the remaining and the evicted prefixes
 */
export const pruneCache = (
  cache: PrefixCache,
  neededTokens: number,
): { readonly cache: PrefixCache; readonly evicted: PrefixCache } => {
  let freed = 0;
  let count = 0;
  while (freed < neededTokens && count < cache.length) {
    freed += (cache[count] as CachedPrefix).tokens;
    count += 1;
  }
  return { cache: cache.slice(count), evicted: cache.slice(0, count) };
};
