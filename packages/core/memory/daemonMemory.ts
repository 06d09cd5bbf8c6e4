import { getHeapStatistics } from 'node:v8';
import type { MemoryAccount } from './types.js';
import { createMemoryBudget } from './memoryBudget.js';
import type { MemoryBudget, MemoryWeights } from './memoryBudget.js';
import { openManagedMemory } from './managedMemory.js';

/** Share of the heap that others may fill; the program itself takes up to 35 MB, and garbage adds to it. */
const FILLABLE_HEAP_SHARE = 0.3;

/** Holders of a daemon, and which of them keep their bytes in the heap. */
export interface DaemonHolders<Holder extends string> {
  /** Weights of the memory of each holder. */
  readonly own: Readonly<Record<Holder, number>>;
  /** Holders whose memory is in the heap, with their shares of it; the shares add up to at most 1. */
  readonly heapShares: Readonly<Partial<Record<Holder, number>>>;
  /** Limits in bytes that the settings set, besides those of the shares. */
  readonly limits: Readonly<Partial<Record<Holder, number>>>;
}

/**
 * Computes the weights of a daemon's holders. The heap is limited by the start of the process, whatever
 * the memory of the machine, so the holders that fill it have limits of their own.
 *
 * @param holders - holders and their shares
 * @param heapBytes - size limit of the heap
 * @returns the weights
 */
export const computeWeights = <Holder extends string>(
  { heapShares, limits, own }: DaemonHolders<Holder>,
  heapBytes: number,
): MemoryWeights<Holder> => {
  const shares = Object.entries(heapShares) as [Holder, number][];
  const caps = shares.map(([holder, share]) => [
    holder,
    Math.floor(heapBytes * FILLABLE_HEAP_SHARE * share),
  ]);
  return {
    own,
    common: 0,
    sharers: [],
    caps: { ...limits, ...(Object.fromEntries(caps) as Partial<Record<Holder, number>>) },
  };
};

/**
 * Creates the owner of the memory that others can fill in a daemon.
 *
 * @param memoryBytes - memory that the process may use
 * @param holders - holders and their shares
 * @returns the budget
 */
export const createDaemonMemory = <Holder extends string>(
  memoryBytes: number,
  holders: DaemonHolders<Holder>,
): MemoryBudget<Holder> =>
  createMemoryBudget({
    memoryBytes,
    weights: computeWeights(holders, getHeapStatistics().heap_size_limit),
    memory: openManagedMemory(),
  });

/** Returns the number of requests, connections or calls of one size that an account can hold. */
export const computeCapacity = ({ limitBytes }: MemoryAccount, bytes: number): number =>
  Math.max(1, Math.floor(limitBytes / bytes));
