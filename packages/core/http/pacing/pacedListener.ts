import type { IncomingMessage, Server } from 'node:http';
import { createConnectionTable } from './connectionTable.js';
import type { ConnectionMemory } from './connectionTable.js';
import { MAX_LISTENER_CONNECTIONS } from './constants.js';
import { wirePacing } from './pacedServer.js';
import { createRequestRoom } from './requestRoom.js';
import type { Clock } from '../../clock.js';
import { createTurnQueue } from '../../loop/turnQueue.js';
import { createMemoryAccount } from '../../memory/memoryAccount.js';
import type { MemoryAccount } from '../../memory/types.js';

/** Memory that strangers can fill at a listener, without the bodies of requests. */
export interface ListenerMemory extends ConnectionMemory {
  /** Heads of requests that have not been answered, and what each takes beyond its bytes. */
  readonly requests: MemoryAccount;
}

/** A listener whose connections hand on one request at a time. */
export interface PacedListener {
  /** Whether a request has to be refused, since there was no memory for it in time. */
  readonly checkRoom: (incoming: IncomingMessage) => 'reserved' | 'refused';
  /** Counts the connections with a request that was read whole, and whose answer is due. */
  readonly countDue: () => number;
  /** Closes the connection whose body has been without progress for longest, if it is stalled. */
  readonly closeStalled: () => 'closed' | 'none';
}

/**
 * Size limit of a body that is read on although its request has been answered. The daemons with such
 * listeners end a connection with the refusal of its body.
 */
const MAX_REST_BYTES = 1024 * 1024;

const DEFAULT_BYTES = 32 * 1024 * 1024;

/**
 * Creates memory of a fixed size, for a listener that is no part of a daemon.
 *
 * @returns the accounts
 */
export const createListenerMemory = (): ListenerMemory => ({
  connections: createMemoryAccount(DEFAULT_BYTES),
  unparsed: createMemoryAccount(DEFAULT_BYTES),
  requests: createMemoryAccount(DEFAULT_BYTES),
});

/**
 * Paces the connections of a server that is not listening yet.
 *
 * @param server - HTTP server
 * @param clock - clock of the waiting times
 * @param memory - memory of the connections and requests
 * @returns the state of the requests
 */
export const createPacedListener = (
  server: Server,
  clock: Clock,
  memory: ListenerMemory,
): PacedListener => {
  const table = createConnectionTable(memory, MAX_LISTENER_CONNECTIONS, clock);
  const pacing = wirePacing(server, {
    clock,
    table,
    room: createRequestRoom(memory.requests, clock, table.closeStalled),
    turns: createTurnQueue(),
    onConnection: () => undefined,
    getMaxBodyBytes: () => MAX_REST_BYTES,
    onClose: () => undefined,
  });
  return {
    // A request that came over no connection is one of a test.
    checkRoom: (incoming) =>
      'heldBytes' in incoming.socket ? pacing.getArrival(incoming).room : 'reserved',
    countDue: table.countDue,
    closeStalled: table.closeStalled,
  };
};
