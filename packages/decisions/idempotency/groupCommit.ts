import type { Millis } from '../../core/clock.js';

export interface PendingAppend<Payload> {
  readonly payload: Payload;
  readonly bytes: number;
  /** Time at which the append was requested. */
  readonly since: Millis;
}

export interface GroupCommitLimits {
  readonly maxRecords: number;
  readonly maxBytes: number;
  /** Maximum time that an append waits for further appends to join its batch. */
  readonly maxDelayMs: Millis;
}

export interface GroupCommitPlan<Payload> {
  /** Batches to append now, in order. */
  readonly batches: readonly (readonly PendingAppend<Payload>[])[];
  /** Appends that stay pending, in order. */
  readonly rest: readonly PendingAppend<Payload>[];
  /** Time at which the oldest pending append must be sent; null when none is pending. */
  readonly wakeAt: Millis | null;
}

/** Full batches, and the last batch, which may still grow. */
interface BatchSplit<Payload> {
  readonly batches: readonly (readonly PendingAppend<Payload>[])[];
  readonly open: readonly PendingAppend<Payload>[];
}

const buildBatches = <Payload>(
  pending: readonly PendingAppend<Payload>[],
  limits: GroupCommitLimits,
): BatchSplit<Payload> => {
  const batches: PendingAppend<Payload>[][] = [];
  let open: PendingAppend<Payload>[] = [];
  let openBytes = 0;
  for (const append of pending) {
    const full = open.length >= limits.maxRecords || openBytes + append.bytes > limits.maxBytes;
    if (full && open.length > 0) {
      batches.push(open);
      open = [];
      openBytes = 0;
    }
    open.push(append);
    openBytes += append.bytes;
  }
  return { batches, open };
};

/**
 * Groups pending appends into batches by count, size and delay. An append that alone exceeds the
 * size bound forms its own batch.
 *
 * @param pending - pending appends, oldest first
 * @param now - current time
 * @param limits - bounds of one batch
 * @returns the batches to append now, the appends that stay pending, and when to plan again
 */
export const planGroupCommit = <Payload>(
  pending: readonly PendingAppend<Payload>[],
  now: Millis,
  limits: GroupCommitLimits,
): GroupCommitPlan<Payload> => {
  const { batches, open } = buildBatches(pending, limits);
  const oldest = open[0];
  if (oldest === undefined) return { batches, rest: [], wakeAt: null };
  const wakeAt = oldest.since + limits.maxDelayMs;
  const bytes = open.reduce((sum, append) => sum + append.bytes, 0);
  const full = open.length >= limits.maxRecords || bytes >= limits.maxBytes;
  if (full || now >= wakeAt) return { batches: [...batches, open], rest: [], wakeAt: null };
  return { batches, rest: open, wakeAt };
};
