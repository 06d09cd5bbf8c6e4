import { BUCKETS_PER_DOUBLING, FIRST_BUCKET_TOKENS, MAX_TOKENS } from './constants.js';

const buildStarts = (): readonly number[] => {
  const starts = [0];
  const ratio = 2 ** (1 / BUCKETS_PER_DOUBLING);
  let edge = FIRST_BUCKET_TOKENS;
  while (edge < MAX_TOKENS) {
    starts.push(Math.round(edge));
    edge *= ratio;
  }
  return starts;
};

/** Lowest length in each bucket; buckets are evenly spaced on a logarithmic scale. */
export const BUCKET_STARTS: readonly number[] = buildStarts();

export const BUCKET_COUNT = BUCKET_STARTS.length;

/** Width of each bucket in tokens. */
export const BUCKET_WIDTHS: readonly number[] = BUCKET_STARTS.map(
  (start, bucket) => (BUCKET_STARTS[bucket + 1] ?? MAX_TOKENS) - start,
);

/**
 * Finds the bucket that contains a length.
 *
 * @param tokens - length, at least 0
 * @returns index of the bucket; the last one for every length at or above its start
 */
export const findBucket = (tokens: number): number => {
  if (tokens < FIRST_BUCKET_TOKENS) return 0;
  const guess = Math.floor(Math.log2(tokens / FIRST_BUCKET_TOKENS) * BUCKETS_PER_DOUBLING) + 1;
  const bucket = Math.min(guess, BUCKET_COUNT - 1);
  // Bucket starts are rounded to whole tokens, so the closed form can be off by one bucket.
  if (tokens < (BUCKET_STARTS[bucket] ?? 0)) return bucket - 1;
  if (tokens >= (BUCKET_STARTS[bucket + 1] ?? Infinity)) return bucket + 1;
  return bucket;
};
