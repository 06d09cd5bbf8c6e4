import type { ManagedMemory, MemoryAccount } from './types.js';

const MEBIBYTE = 1024 * 1024;

/**
 * Memory of a daemon without what others make it keep: the program (about 45 MB), its threads and
 * libraries, its own state, and garbage that has not been collected.
 */
const OWN_BYTES = 110 * MEBIBYTE;

/** Share of the memory that may be filled on machines that have hardly more than `OWN_BYTES`. */
const MIN_FILLABLE_SHARE = 0.2;

/** Bytes that are received, reserved or released between two checks of the memory in use. */
const CHECK_BYTES = MEBIBYTE;

/** Garbage above which a collection is due, if the memory in use exceeds `PRESSURE_SHARE`. */
const MAX_GARBAGE_BYTES = 8 * MEBIBYTE;

/**
 * Share of the memory of the machine that may be in use before the daemon collects by itself. Below
 * it, the garbage collector's own pace is enough and costs less.
 */
const PRESSURE_SHARE = 0.3;

/** Weights of the memory that others may fill. */
export interface MemoryWeights<Holder extends string> {
  /** Memory that each holder can always use. */
  readonly own: Readonly<Record<Holder, number>>;
  /** Memory that `sharers` may use beyond their own. */
  readonly common: number;
  readonly sharers: readonly Holder[];
  /** Upper limits in bytes, as for what is kept in the heap, whose size is fixed. */
  readonly caps: Readonly<Partial<Record<Holder, number>>>;
}

/** Receives the holder and the bytes that it could not reserve. */
export type FullHandler<Holder> = (holder: Holder, bytes: number) => void;

/**
 * Owner of the memory that callers, endpoints and the store can fill. Each holder has an account with
 * memory of its own, and some may use the common memory beyond it. All of them together are what the
 * machine has beyond the daemon's own memory.
 */
export interface MemoryBudget<Holder extends string> {
  readonly accounts: Readonly<Record<Holder, MemoryAccount>>;
  /** Replaces the count of a holder that counts its bytes itself; `reserve(0)` then checks it. */
  readonly observe: (holder: Holder, readBytes: () => number) => void;
  /** Records bytes that were read from a connection, kept or not: they may become garbage. */
  readonly recordReceived: (bytes: number) => void;
  /** Adds the receiver of what could not be reserved. */
  readonly notifyFull: (handler: FullHandler<Holder>) => void;
}

/** Memory of the machine and the holders that share it. */
export interface MemoryBudgetOptions<Holder extends string> {
  /** Memory above which the process is killed. */
  readonly memoryBytes: number;
  readonly weights: MemoryWeights<Holder>;
  readonly memory: ManagedMemory;
}

/** Memory of the holders in bytes; the sum is what others may fill of the machine. */
export interface MemoryLimits<Holder extends string> {
  /** Memory that each holder can always use. */
  readonly own: Readonly<Record<Holder, number>>;
  /** Memory that some of them share beyond their own. */
  readonly common: number;
}

/**
 * Computes the limits of all holders. Their sum is what the machine has beyond the daemon's own
 * memory, whatever the weights.
 *
 * @param memoryBytes - memory above which the process is killed
 * @param weights - weights of the holders and of the common memory
 * @returns the limits in bytes
 */
export const computeLimits = <Holder extends string>(
  memoryBytes: number,
  { caps, common, own }: MemoryWeights<Holder>,
): MemoryLimits<Holder> => {
  const fillable = Math.max(memoryBytes - OWN_BYTES, memoryBytes * MIN_FILLABLE_SHARE);
  const entries = Object.entries(own) as [Holder, number][];
  const total = entries.reduce((sum, [, weight]) => sum + weight, common);
  const toBytes = (weight: number): number => Math.floor((fillable * weight) / total);
  const limits = entries.map(([holder, weight]) => [
    holder,
    Math.min(toBytes(weight), caps[holder] ?? Infinity),
  ]);
  return { own: Object.fromEntries(limits) as Record<Holder, number>, common: toBytes(common) };
};

interface Holding {
  readonly ownBytes: number;
  readonly sharing: 'common' | 'none';
  reserved: number;
  /** Count of a holder that counts its bytes itself; null for others. */
  readBytes: (() => number) | null;
}

const getReserved = ({ readBytes, reserved }: Holding): number => readBytes?.() ?? reserved;

const computeExcess = (holding: Holding, bytes: number): number =>
  Math.max(0, bytes - holding.ownBytes);

/**
 * Creates the owner of the memory that others can fill. The platform kills a process by its resident
 * memory, so the budget also collects garbage before that of released buffers adds up.
 *
 * @param options - memory of the machine, holders and the garbage collector
 * @returns the budget, in which nothing is reserved
 */
export const createMemoryBudget = <Holder extends string>(
  options: MemoryBudgetOptions<Holder>,
): MemoryBudget<Holder> => {
  const { memory, memoryBytes } = options;
  const limits = computeLimits(memoryBytes, options.weights);
  const holdings = new Map<Holder, Holding>();
  const handlers: FullHandler<Holder>[] = [];
  /** Bytes in use beyond the reserved ones after the last collection. */
  let ownUsedBytes = 0;
  let uncheckedBytes = 0;

  const sumReserved = (): number =>
    [...holdings.values()].reduce((sum, holding) => sum + getReserved(holding), 0);

  const collectGarbage = (): void => {
    const used = memory.readUsedBytes();
    if (used < memoryBytes * PRESSURE_SHARE) return;
    if (used - sumReserved() - ownUsedBytes < MAX_GARBAGE_BYTES) return;
    memory.collect();
    ownUsedBytes = Math.max(0, memory.readUsedBytes() - sumReserved());
  };

  const recordBytes = (bytes: number): void => {
    uncheckedBytes += bytes;
    if (uncheckedBytes < CHECK_BYTES) return;
    uncheckedBytes = 0;
    collectGarbage();
  };

  /** Whether a holder may hold so many bytes: in its own memory, or in what is left of the common. */
  const hasRoom = (holding: Holding, bytes: number): boolean => {
    const excess = computeExcess(holding, bytes);
    if (excess === 0) return true;
    if (holding.sharing === 'none') return false;
    const others = [...holdings.values()].filter((other) => other !== holding);
    const used = others.reduce((sum, other) => sum + computeExcess(other, getReserved(other)), 0);
    return used + excess <= limits.common;
  };

  const openAccount = (holder: Holder): MemoryAccount => {
    const ownBytes = limits.own[holder];
    const sharing = options.weights.sharers.includes(holder) ? 'common' : 'none';
    const holding: Holding = { ownBytes, sharing, reserved: 0, readBytes: null };
    holdings.set(holder, holding);
    return {
      limitBytes: sharing === 'common' ? ownBytes + limits.common : ownBytes,
      reserve: (bytes) => {
        recordBytes(bytes);
        if (!hasRoom(holding, getReserved(holding) + bytes)) {
          for (const handle of handlers) handle(holder, bytes);
          return 'full';
        }
        holding.reserved += bytes;
        return 'reserved';
      },
      hasRoom: (bytes) => hasRoom(holding, getReserved(holding) + bytes),
      release: (bytes) => {
        holding.reserved -= bytes;
        recordBytes(bytes);
      },
      getReserved: () => getReserved(holding),
    };
  };

  const holders = Object.keys(options.weights.own) as Holder[];
  const accounts = holders.map((holder) => [holder, openAccount(holder)]);
  return {
    accounts: Object.fromEntries(accounts) as Record<Holder, MemoryAccount>,
    observe: (holder, readBytes) => {
      const holding = holdings.get(holder);
      if (holding !== undefined) holding.readBytes = readBytes;
    },
    recordReceived: recordBytes,
    notifyFull: (handler) => {
      handlers.push(handler);
    },
  };
};
