import { createDaemonMemory } from '../core/memory/daemonMemory.js';
import type { MemoryBudget } from '../core/memory/memoryBudget.js';
import type { EndpointSettings } from '../settings/types.js';

/** Parts of an endpoint daemon that keep what others send. */
export type EndpointHolder =
  /** Connections of entry daemons without calls. */
  | 'rpc-connections'
  /** Bytes on these connections that are no call yet. */
  | 'rpc-input'
  /** Calls of entry daemons that have not ended, with their messages. */
  | 'rpc-calls'
  /** Fixed cost of the connections to the inspection pages. */
  | 'page-connections'
  /** Bytes on these connections that are no request yet. */
  | 'page-unparsed'
  /** Requests for inspection pages that have not been answered. */
  | 'page-requests';

export type EndpointMemory = MemoryBudget<EndpointHolder>;

/**
 * Creates the owner of the memory that others can fill in an endpoint daemon.
 *
 * @param settings - memory that the process may use, and what its buffers may take of it
 * @returns the budget
 */
export const createEndpointMemory = ({
  answers,
  buffer,
  memoryBytes,
}: EndpointSettings): EndpointMemory =>
  // The buffers of streams and answers count their bytes themselves.
  createDaemonMemory(memoryBytes - buffer.maxTotalBytes - answers.maxBytes, {
    own: {
      'rpc-connections': 5,
      'rpc-input': 10,
      'rpc-calls': 70,
      'page-connections': 5,
      'page-unparsed': 5,
      'page-requests': 5,
    },
    limits: {},
    heapShares: {
      'rpc-connections': 0.15,
      'rpc-calls': 0.6,
      'page-connections': 0.1,
      'page-unparsed': 0.05,
      'page-requests': 0.1,
    },
  });
