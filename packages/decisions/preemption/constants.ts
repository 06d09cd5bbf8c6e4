/**
 * Cost of a stall by importance and answer length. Stalling a long answer costs several times as
 * much as stalling a short one, since its reader notices the pause and the engine recomputes the
 * whole answer. Short critical answers weigh almost as much as long ones: they hold so little
 * memory that preempting them frees almost nothing, and engines also start requests in this order.
 */
export const STALL_WEIGHTS = {
  critical: { long: 16, short: 14 },
  standard: { long: 12, short: 3 },
  background: { long: 2, short: 1 },
} as const;

/** Highest stall weight; the priority numbers of a `lower-first` engine count down from it. */
export const MAX_STALL_WEIGHT = 16;

/** Cost of a stall besides the recomputation, in tokens: queueing and another prefill. */
export const FIXED_STALL_TOKENS = 200;
