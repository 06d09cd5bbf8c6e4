import type { Millis } from '../../core/clock.js';

export interface PendingAppend<Payload> {
  readonly payload: Payload;
  readonly bytes: number;
  /** When the append was asked for. */
  readonly since: Millis;
}

export interface GroupCommitLimits {
  readonly maxRecords: number;
  readonly maxBytes: number;
  /** Longest time that an append waits for company. */
  readonly maxDelayMs: Millis;
}

export interface GroupCommitPlan<Payload> {
  /** Batches to append now, in order. */
  readonly batches: readonly (readonly PendingAppend<Payload>[])[];
  /** Appends that wait on, in order. */
  readonly rest: readonly PendingAppend<Payload>[];
  /** When the oldest of the rest must go; null when nothing waits. */
  readonly wakeAt: Millis | null;
}

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
 * Splits waiting appends into batches by count, bytes and delay. A single append above the byte
 * bound goes alone.
 *
 * @param pending - waiting appends, oldest first
 * @param now - current instant
 * @param limits - bounds of one batch
 * @returns what to append now and when to plan again
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
