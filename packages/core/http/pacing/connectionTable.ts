import type { Clock, Millis } from '../../clock.js';
import type { MemoryAccount } from '../../memory/types.js';

/** What a connection is in the middle of; it may be closed for others only without a whole request. */
export type ConnectionPlace =
  /** It waits for a request. */
  | 'idle'
  /** A part of a head has been read. */
  | 'reading'
  /** The body of a request is being read. */
  | 'receiving'
  /** A request has been read whole, and its answer is due. */
  | 'due';

/** Accounts of what connections take. */
export interface ConnectionMemory {
  /** Fixed cost of each open connection. */
  readonly connections: MemoryAccount;
  /** Bytes that have been read and are no request yet. */
  readonly unparsed: MemoryAccount;
}

/** A connection, as far as its room is concerned. */
export interface TableMember {
  /** Closes the connection to make room for others. */
  readonly close: () => void;
  /** Closes the connection if it waits for a further request, or its last answer has been written. */
  readonly closeIdle: () => void;
  /** Drops the bytes behind the request whose answer is due, which becomes the last one. */
  readonly dropHeld: () => void;
}

/** An open connection in the table. */
export interface TableEntry {
  readonly member: TableMember;
  place: ConnectionPlace;
  /** Instant since which it is there; of a body, since its newest `PROGRESS_BYTES`. */
  since: Millis;
  /** Bytes of a body since then. */
  progressBytes: number;
  unparsedBytes: number;
}

/** Open connections of one listener, and their memory. */
export interface ConnectionTable {
  /** Adds a connection, for which others may be closed; null if there is no room for it. */
  readonly add: (member: TableMember) => TableEntry | null;
  /** Removes a connection and releases what is reserved for it; further calls change nothing. */
  readonly remove: (entry: TableEntry) => void;
  readonly recordPlace: (entry: TableEntry, place: ConnectionPlace) => void;
  /** Records that bytes of a body have arrived. */
  readonly recordProgress: (entry: TableEntry, bytes: number) => void;
  /** Closes the connection whose body has been without progress for longest, if it is stalled. */
  readonly closeStalled: () => 'closed' | 'none';
  /** Closes the connections that wait for a further request, or whose last answer has been written. */
  readonly closeIdle: () => void;
  /**
   * Replaces the number of unparsed bytes of a connection. Others may be closed for it.
   *
   * @returns `full` if this connection has to give up its own bytes
   */
  readonly reserveUnparsed: (entry: TableEntry, bytes: number) => 'reserved' | 'full';
  readonly count: () => number;
  readonly countDue: () => number;
}

/**
 * Memory of an idle connection: its socket, the stream in front of it, its parser and its entries in
 * tables (docs/CAPACITY.md).
 */
export const CONNECTION_BYTES = 10 * 1024;

/**
 * Time in which an honest caller completes a head that it has begun, and time in which the first bytes of
 * a new connection are read, also in the middle of a flood of new ones.
 */
const SLOW_HEAD_MS: Millis = 500;
const FRESH_MS: Millis = 1_000;

/**
 * Time without progress of a body after which its connection may be closed for others. Its request has
 * reserved memory and has not been read whole, so its caller may repeat it.
 */
const STALLED_BODY_MS: Millis = 1_000;

/** Bytes of a body that are progress: a byte now and then would hold the room of others for good. */
const PROGRESS_BYTES = 4 * 1024;

const getFirst = (entries: ReadonlySet<TableEntry>): TableEntry | null =>
  entries.values().next().value ?? null;

const findLargest = (entries: ReadonlySet<TableEntry>): TableEntry | null => {
  let largest: TableEntry | null = null;
  for (const entry of entries) {
    if (entry.unparsedBytes > (largest?.unparsedBytes ?? 0)) largest = entry;
  }
  return largest;
};

/**
 * Creates the table of the connections of one listener. Without room for a new connection, the one
 * whose head is slowest is closed, else the one that has been idle for longest. Connections that were
 * accepted just now come last: in a flood of new ones, those of honest callers would be closed before
 * their requests are read.
 *
 * @param memory - accounts of what connections take
 * @param maxConnections - limit of the connections, whatever the memory
 * @param clock - clock of the times that connections spend in a place
 * @returns the table without connections
 */
export const createConnectionTable = (
  memory: ConnectionMemory,
  maxConnections: number,
  clock: Clock,
): ConnectionTable => {
  // Each is in the order in which its entries got there.
  const entries: Readonly<Record<ConnectionPlace, Set<TableEntry>>> = {
    idle: new Set(),
    reading: new Set(),
    receiving: new Set(),
    due: new Set(),
  };
  const countDue = (): number => entries.receiving.size + entries.due.size;
  const count = (): number => entries.idle.size + entries.reading.size + countDue();

  const setUnparsed = (entry: TableEntry, bytes: number): void => {
    const added = bytes - entry.unparsedBytes;
    entry.unparsedBytes = bytes;
    if (added < 0) memory.unparsed.release(-added);
    else memory.unparsed.reserve(added);
  };

  const remove = (entry: TableEntry): void => {
    if (!entries[entry.place].delete(entry)) return;
    setUnparsed(entry, 0);
    memory.connections.release(CONNECTION_BYTES);
  };

  const close = (entry: TableEntry): void => {
    remove(entry);
    entry.member.close();
  };

  const hasRoomForOne = (): boolean =>
    count() < maxConnections && memory.connections.hasRoom(CONNECTION_BYTES);

  const findOlder = (place: ConnectionPlace, ageMs: Millis): TableEntry | null => {
    const first = getFirst(entries[place]);
    return first !== null && clock.now() - first.since >= ageMs ? first : null;
  };

  const findLeastUseful = (): TableEntry | null =>
    findOlder('reading', SLOW_HEAD_MS) ??
    findOlder('receiving', STALLED_BODY_MS) ??
    findOlder('idle', FRESH_MS) ??
    getFirst(entries.reading) ??
    getFirst(entries.idle);

  const makeRoomForOne = (): void => {
    while (!hasRoomForOne()) {
      const entry = findLeastUseful();
      if (entry === null) return;
      close(entry);
    }
  };

  /** Makes room for bytes of a connection; `full` if it is itself the largest one. */
  const makeRoomForBytes = (entry: TableEntry, bytes: number): 'reserved' | 'full' => {
    const added = bytes - entry.unparsedBytes;
    while (!memory.unparsed.hasRoom(added)) {
      const reading = findLargest(entries.reading);
      const largest = reading ?? findLargest(entries.due) ?? findLargest(entries.receiving);
      if (largest === null || largest === entry) return 'full';
      if (reading === null && largest.unparsedBytes <= bytes) return 'full';
      if (reading === null) {
        largest.member.dropHeld();
        setUnparsed(largest, 0);
      } else {
        close(largest);
      }
    }
    return 'reserved';
  };

  return {
    add: (member) => {
      makeRoomForOne();
      if (count() >= maxConnections) return null;
      if (memory.connections.reserve(CONNECTION_BYTES) === 'full') return null;
      const entry: TableEntry = {
        member,
        place: 'idle',
        since: clock.now(),
        progressBytes: 0,
        unparsedBytes: 0,
      };
      entries.idle.add(entry);
      return entry;
    },
    remove,
    recordPlace: (entry, place) => {
      if (entry.place === place || !entries[entry.place].delete(entry)) return;
      entry.place = place;
      entry.since = clock.now();
      entry.progressBytes = 0;
      entries[place].add(entry);
    },
    reserveUnparsed: (entry, bytes) => {
      if (entry.unparsedBytes === bytes || !entries[entry.place].has(entry)) return 'reserved';
      if (bytes > entry.unparsedBytes && makeRoomForBytes(entry, bytes) === 'full') return 'full';
      setUnparsed(entry, bytes);
      return 'reserved';
    },
    recordProgress: (entry, bytes) => {
      if (entry.place !== 'receiving') return;
      entry.progressBytes += bytes;
      // The connection may have been removed.
      if (entry.progressBytes < PROGRESS_BYTES || !entries.receiving.delete(entry)) return;
      entry.since = clock.now();
      entry.progressBytes = 0;
      entries.receiving.add(entry);
    },
    closeStalled: () => {
      const entry = findOlder('receiving', STALLED_BODY_MS);
      if (entry === null) return 'none';
      close(entry);
      return 'closed';
    },
    closeIdle: () => {
      // Only its pacing knows whether a connection waits for a request.
      const { due, idle, reading } = entries;
      for (const { member } of [...idle, ...reading, ...due]) member.closeIdle();
    },
    count,
    countDue,
  };
};
