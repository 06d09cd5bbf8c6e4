/**
 * Cost of a stall by importance and length. A reader of a long answer sees the pause and the engine
 * computes the whole answer again, so it weighs several times a short one. Short critical answers hold so little memory that a
 * preemption of theirs frees nothing, and engines also start work in this order.
 */
export const STALL_WEIGHTS = {
  critical: { long: 16, short: 14 },
  standard: { long: 12, short: 3 },
  background: { long: 2, short: 1 },
} as const;

/** Largest stall weight; priority numbers of a `lower-first` engine count down from it. */
export const MAX_STALL_WEIGHT = 16;

/** Tokens of work that a stall costs besides the recomputation: queueing and a new prefill. */
export const FIXED_STALL_TOKENS = 200;
