import { computeCapacity } from '../memory/daemonMemory.js';
import type { MemoryAccount } from '../memory/types.js';

/** Open connections of a listener, within a limit of their number. */
export interface ConnectionLimit<Connection> {
  /** Adds a connection, which has no work yet. */
  readonly add: (connection: Connection) => void;
  /** Records a sign of life of a connection without work: others make room before it. */
  readonly touch: (connection: Connection) => void;
  /** Records that work began on a connection, which is not closed until all of it has ended. */
  readonly begin: (connection: Connection) => void;
  /** Records that work ended; once for each `begin`. */
  readonly end: (connection: Connection) => void;
  readonly remove: (connection: Connection) => void;
  readonly count: () => number;
  /** Number of connections that the listener may accept; it drops further ones. */
  readonly maxConnections: number;
}

/** Memory that each connection takes of an account. */
export interface ConnectionCost {
  readonly account: MemoryAccount;
  readonly bytes: number;
}

export interface ConnectionLimitOptions<Connection> {
  readonly costs: readonly ConnectionCost[];
  /** Closes a connection that has no work. */
  readonly close: (connection: Connection) => void;
}

/**
 * Share of the connections that is kept free for new ones by closing others. A listener drops new ones
 * when all are taken.
 */
const FREE_SHARE = 1 / 8;

const releaseCosts = (costs: readonly ConnectionCost[]): void => {
  for (const { account, bytes } of costs) account.release(bytes);
};

/** Reserves the memory of one connection in all accounts, or in none. */
const takeCosts = (costs: readonly ConnectionCost[]): 'reserved' | 'full' => {
  const full = costs.findIndex(({ account, bytes }) => account.reserve(bytes) === 'full');
  if (full === -1) return 'reserved';
  releaseCosts(costs.slice(0, full));
  return 'full';
};

/**
 * Creates the limit. Above it, the connection that has had no work for the longest time is closed, so
 * that connections without work cannot keep others out.
 *
 * @param options - memory of a connection, and the function that closes one
 * @returns the limit without connections
 */
export const createConnectionLimit = <Connection extends object>({
  close,
  costs,
}: ConnectionLimitOptions<Connection>): ConnectionLimit<Connection> => {
  const maxConnections = Math.min(
    ...costs.map(({ account, bytes }) => computeCapacity(account, bytes)),
  );
  const busy = new Map<Connection, number>();
  /** Connections without work, the one that has had none for the longest time first. */
  const idle = new Set<Connection>();
  /** Connections that were closed and have not been removed; their memory is still in use. */
  const closing = new Set<Connection>();
  const maxKept = Math.max(1, Math.floor(maxConnections * (1 - FREE_SHARE)));

  const closeLongestIdle = (): void => {
    const [longest] = idle;
    if (longest === undefined) return;
    idle.delete(longest);
    closing.add(longest);
    close(longest);
  };

  return {
    add: (connection) => {
      if (takeCosts(costs) === 'full') {
        close(connection);
        return;
      }
      idle.add(connection);
      if (busy.size + idle.size > maxKept) closeLongestIdle();
    },
    touch: (connection) => {
      if (idle.delete(connection)) idle.add(connection);
    },
    begin: (connection) => {
      const known = busy.get(connection);
      // A connection that was removed is closed, and so is all work on it.
      if (known === undefined && !idle.delete(connection)) return;
      busy.set(connection, (known ?? 0) + 1);
    },
    end: (connection) => {
      const known = busy.get(connection);
      if (known === undefined) return;
      if (known > 1) {
        busy.set(connection, known - 1);
        return;
      }
      busy.delete(connection);
      idle.add(connection);
    },
    remove: (connection) => {
      const isKnown = busy.delete(connection) || idle.delete(connection);
      if (isKnown || closing.delete(connection)) releaseCosts(costs);
    },
    count: () => busy.size + idle.size,
    maxConnections,
  };
};
