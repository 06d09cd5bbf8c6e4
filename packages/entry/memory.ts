import { createDaemonMemory } from '../core/memory/daemonMemory.js';
import type { MemoryBudget } from '../core/memory/memoryBudget.js';
import type { EntrySettings } from '../settings/types.js';

/** Parts of an entry daemon that keep what others send. */
export type EntryHolder =
  /** Fixed cost of the connections of callers and operators. */
  | 'caller-connections'
  /** Bytes of callers and operators that are no request yet. */
  | 'unparsed'
  /** Requests of callers and operators that have not been answered, without their bodies. */
  | 'requests'
  /** Bodies of requests in progress. */
  | 'request-bodies'
  /** Connections of endpoint daemons without heartbeats in progress. */
  | 'rpc-connections'
  /** Bytes on these connections that are no heartbeat yet. */
  | 'rpc-input'
  /** Heartbeats that have not been answered, with their messages. */
  | 'rpc-calls';

export type EntryMemory = MemoryBudget<EntryHolder>;

/**
 * Creates the owner of the memory that others can fill in an entry daemon.
 *
 * @param settings - memory that the process may use, and the limit of all bodies
 * @returns the budget
 */
export const createEntryMemory = ({ limits, memoryBytes }: EntrySettings): EntryMemory =>
  createDaemonMemory(memoryBytes, {
    own: {
      'caller-connections': 8,
      unparsed: 12,
      requests: 20,
      'request-bodies': 30,
      'rpc-connections': 4,
      'rpc-input': 6,
      'rpc-calls': 20,
    },
    limits: { 'request-bodies': limits.maxTotalBodyBytes },
    heapShares: {
      'caller-connections': 0.15,
      unparsed: 0.15,
      requests: 0.35,
      'rpc-connections': 0.1,
      'rpc-calls': 0.25,
    },
  });
