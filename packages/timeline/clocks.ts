import { buildMessageEdges } from './edges.js';
import type { EventTable } from './sources.js';
import type { Millis } from '../core/clock.js';

/** Bounds on the difference between two clocks, derived from messages between the processes. */
interface ClockBounds {
  /** Smallest possible difference: reading of the second clock minus that of the first. */
  readonly low: Millis;
  readonly high: Millis;
}

type BoundsTable = ReadonlyMap<number, ReadonlyMap<number, ClockBounds>>;

const UNBOUNDED: ClockBounds = { low: Number.NEGATIVE_INFINITY, high: Number.POSITIVE_INFINITY };

/**
 * Derives the bounds from the messages: one sent at `a` and received at `b`, each by the local
 * clock, shows that the receiver's clock is at most b - a ahead of the sender's.
 */
const collectBounds = (table: EventTable): BoundsTable => {
  const bounds = new Map<number, Map<number, ClockBounds>>();
  const narrowBounds = (first: number, second: number, low: Millis, high: Millis): void => {
    const row = bounds.get(first) ?? new Map<number, ClockBounds>();
    const previous = row.get(second) ?? UNBOUNDED;
    row.set(second, { low: Math.max(previous.low, low), high: Math.min(previous.high, high) });
    bounds.set(first, row);
  };
  for (const edge of buildMessageEdges(table)) {
    const sender = table.sourceOf[edge.from] ?? 0;
    const receiver = table.sourceOf[edge.to] ?? 0;
    const difference = (table.events[edge.to]?.at ?? 0) - (table.events[edge.from]?.at ?? 0);
    narrowBounds(sender, receiver, UNBOUNDED.low, difference);
    narrowBounds(receiver, sender, -difference, UNBOUNDED.high);
  }
  return bounds;
};

/**
 * Estimates a clock difference: the midpoint of the bounds when messages went both ways, otherwise
 * the only bound, which assumes that its message had no delay.
 */
const estimateDifference = (bounds: ClockBounds): Millis => {
  if (bounds.low === UNBOUNDED.low) return bounds.high;
  if (bounds.high === UNBOUNDED.high) return bounds.low;
  return (bounds.low + bounds.high) / 2;
};

interface ClockLink {
  readonly from: number;
  readonly to: number;
  readonly bounds: ClockBounds;
}

/** Picks the link with the narrowest bounds from a reached source to one not yet reached. */
const pickTightestLink = (
  bounds: BoundsTable,
  reached: ReadonlyMap<number, Millis>,
): ClockLink | undefined => {
  let best: ClockLink | undefined;
  for (const from of reached.keys()) {
    for (const [to, candidate] of bounds.get(from) ?? []) {
      if (reached.has(to)) continue;
      const width = candidate.high - candidate.low;
      if (best === undefined || width < best.bounds.high - best.bounds.low) {
        best = { from, to, bounds: candidate };
      }
    }
  }
  return best;
};

/**
 * Estimates how far each process's clock is ahead of the reference clock: that of the first source
 * with which the process exchanged messages, directly or through other processes.
 *
 * @param table - events of all processes
 * @returns offset of each source's clock in milliseconds; 0 for the reference and for a source
 *   without messages
 */
export const estimateClockOffsets = (table: EventTable): readonly Millis[] => {
  const bounds = collectBounds(table);
  const offsets = new Map<number, Millis>();
  for (let root = 0; root < table.sources.length; root += 1) {
    if (offsets.has(root)) continue;
    offsets.set(root, 0);
    for (;;) {
      const link = pickTightestLink(bounds, offsets);
      if (link === undefined) break;
      offsets.set(link.to, (offsets.get(link.from) ?? 0) + estimateDifference(link.bounds));
    }
  }
  return table.sources.map((_source, index) => offsets.get(index) ?? 0);
};
