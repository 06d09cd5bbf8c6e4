import { createMemoryBudget } from '../core/memory/memoryBudget.js';
import type { MemoryBudget, MemoryWeights } from '../core/memory/memoryBudget.js';
import type { ManagedMemory } from '../core/memory/types.js';

/** Parts of a gateway daemon that keep what callers, endpoints and the store send. */
export type GatewayHolder =
  /** Bodies of requests, kept for retries until their requests end. */
  | 'request-bodies'
  /** Heads of requests, and what each open request takes in the daemon. */
  | 'requests'
  /** Fixed cost of the open connections of callers. */
  | 'connections'
  /** Bytes of callers that are no request yet: parts of heads, and what follows an open request. */
  | 'unparsed'
  /** Answers that are not complete, and events of streams in part. */
  | 'answers'
  /** Answers that callers have not read yet. */
  | 'unread-answers'
  /** Answers to the daemon's own calls to endpoints. */
  | 'control-answers'
  /** Answers of the store. */
  | 'store-answers';

/** Limit of what open requests take in the heap, whatever the memory of the machine. */
const MAX_REQUEST_HEAP_BYTES = 24 * 1024 * 1024;

const WEIGHTS: MemoryWeights<GatewayHolder> = {
  own: {
    'request-bodies': 16,
    requests: 18,
    connections: 9,
    unparsed: 8,
    answers: 7,
    'unread-answers': 5,
    'control-answers': 4,
    'store-answers': 9,
  },
  common: 24,
  // Control calls and reads of the store are tried again, and open requests are limited by the heap.
  sharers: ['request-bodies', 'connections', 'unparsed', 'answers', 'unread-answers'],
  caps: { requests: MAX_REQUEST_HEAP_BYTES },
};

export const GATEWAY_HOLDERS = Object.keys(WEIGHTS.own) as readonly GatewayHolder[];

export type GatewayMemory = MemoryBudget<GatewayHolder>;

/**
 * Creates the owner of the memory that others can fill in a gateway daemon.
 *
 * @param memoryBytes - memory above which the platform kills the process
 * @param memory - memory that the garbage collector manages
 * @returns the budget
 */
export const createGatewayMemory = (memoryBytes: number, memory: ManagedMemory): GatewayMemory =>
  createMemoryBudget({ memoryBytes, weights: WEIGHTS, memory });
