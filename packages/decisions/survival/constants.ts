/** Upper end of the tracked output lengths; a longer generation counts as ended here. */
export const MAX_TOKENS = 131_072;

/** Width of the first bucket; shorter answers need no finer estimate. */
export const FIRST_BUCKET_TOKENS = 8;

/** Buckets per doubling of the length: hazard is taken as constant within a factor of 1.41. */
export const BUCKETS_PER_DOUBLING = 2;

/** Generations after which old observations of one key weigh 1/e. */
export const KEY_DECAY_OBSERVATIONS = 500;

/** The same for a class, which sees more generations and must outlast single customers. */
export const CLASS_DECAY_OBSERVATIONS = 2_000;

/** Generations of own evidence per bucket that weigh as much as the class's estimate. */
export const SHRINKAGE_TO_CLASS = 8;

/** Generations of evidence of a class per bucket that weigh as much as the prior. */
export const SHRINKAGE_TO_PRIOR = 2;

/** Tracked keys; 28,000 customers with several classes do not fit, the least recent are dropped. */
export const MAX_TRACKED_KEYS = 4_096;

/** Tracked classes. */
export const MAX_TRACKED_CLASSES = 256;

/**
 * Prior hazard per token is `PRIOR_SHAPE / (tokens + PRIOR_SCALE_TOKENS)`, a heavy tail with a mean
 * near 400 tokens: without evidence a long answer must be expected. A shape of 1.6 made the mean of
 * censored samples 40% too long.
 */
export const PRIOR_SHAPE = 2;
export const PRIOR_SCALE_TOKENS = 400;

/** Largest hazard of a bucket, so that its rate per token stays finite. */
export const MAX_HAZARD = 1 - 1e-9;
