/** Longest tracked output; a longer generation counts as one of this length. */
export const MAX_TOKENS = 131_072;

/** Width of the first bucket; shorter answers need no finer estimate. */
export const FIRST_BUCKET_TOKENS = 8;

/**
 * Buckets per doubling of the length: a bucket spans a factor of 1.41, within which the hazard is
 * constant.
 */
export const BUCKETS_PER_DOUBLING = 2;

/** Number of generations of a key after which the weight of an observation has decayed to 1/e. */
export const KEY_DECAY_OBSERVATIONS = 500;

/**
 * Number of generations of a class after which the weight of an observation has decayed to 1/e. It
 * is higher than for a key, since a class has more generations and must not be dominated by one
 * customer.
 */
export const CLASS_DECAY_OBSERVATIONS = 2_000;

/** Observed generations of a key per bucket that weigh as much as the class's estimate. */
export const SHRINKAGE_TO_CLASS = 8;

/** Observed generations of a class per bucket that weigh as much as the prior. */
export const SHRINKAGE_TO_PRIOR = 2;

/**
 * Maximum number of tracked keys. The keys of 28,000 customers with several classes exceed it, so
 * the least recently observed ones are evicted.
 */
export const MAX_TRACKED_KEYS = 4_096;

/** Maximum number of tracked classes; the least recently observed ones are evicted. */
export const MAX_TRACKED_CLASSES = 256;

/**
 * Parameters of the prior hazard per token, `PRIOR_SHAPE / (tokens + PRIOR_SCALE_TOKENS)`. It has a
 * heavy tail and a mean near 400 tokens, since long answers must be expected until lengths have
 * been observed. With a shape of 1.6 the estimated mean of censored samples was 40% too high.
 */
export const PRIOR_SHAPE = 2;
export const PRIOR_SCALE_TOKENS = 400;

/** Upper bound on the hazard of a bucket, which keeps its rate per token finite. */
export const MAX_HAZARD = 1 - 1e-9;
