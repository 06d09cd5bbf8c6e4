import type { Clock, Millis } from '../../clock.js';
import type { MemoryAccount } from '../../memory/types.js';

/** Whether memory was reserved for a request, or there was none in time. */
export type RoomResult = 'reserved' | 'refused';

/** Memory of open requests, for which requests wait in the order in which they asked. */
export interface RequestRoom {
  /**
   * Asks for memory. `settle` is called once: at once if there is room, otherwise when enough has been
   * released or `ROOM_WAIT_MS` are over.
   *
   * @returns a function that withdraws the question, after which `settle` is not called any more
   */
  readonly ask: (bytes: number, settle: (result: RoomResult) => void) => () => void;
  readonly release: (bytes: number) => void;
  /** Counts the requests that wait. */
  readonly countWaiting: () => number;
}

/**
 * Time for which a request waits for memory before it is refused. Its deadline is not known before it
 * is parsed; a caller may wait for a few hundred ms only.
 */
export const ROOM_WAIT_MS: Millis = 150;

interface WaitingRequest {
  readonly bytes: number;
  readonly until: Millis;
  readonly settle: (result: RoomResult) => void;
}

const cancelNothing = (): void => undefined;

/**
 * Creates the queue for the memory of open requests.
 *
 * @param account - memory for all of them
 * @param clock - clock of the waiting times
 * @param makeRoom - ends a request that keeps its memory without progress; its release follows
 * @returns the queue, in which nothing waits
 */
export const createRequestRoom = (
  account: MemoryAccount,
  clock: Clock,
  makeRoom: () => void = () => undefined,
): RequestRoom => {
  /** In the order of their questions, which is also that of their times. */
  const waiting = new Set<WaitingRequest>();
  let timer: NodeJS.Timeout | null = null;

  const getFirst = (): WaitingRequest | undefined => waiting.values().next().value;

  /** Refuses the first request if its time is over, one in a turn of the event loop. */
  const expireFirst = (): void => {
    timer = null;
    const first = getFirst();
    if (first === undefined) return;
    if (first.until <= clock.now()) {
      waiting.delete(first);
      first.settle('refused');
      // A smaller request behind it may fit.
      admitWaiting();
    }
    scheduleExpiry();
  };

  const scheduleExpiry = (): void => {
    const first = getFirst();
    if (first === undefined || timer !== null) return;
    timer = setTimeout(expireFirst, Math.max(0, first.until - clock.now()));
  };

  const admitWaiting = (): void => {
    for (;;) {
      const first = getFirst();
      if (first === undefined || !account.hasRoom(first.bytes)) return;
      account.reserve(first.bytes);
      waiting.delete(first);
      first.settle('reserved');
    }
  };

  return {
    ask: (bytes, settle) => {
      if (bytes > account.limitBytes) {
        settle('refused');
        return cancelNothing;
      }
      if (waiting.size === 0 && account.reserve(bytes) === 'reserved') {
        settle('reserved');
        return cancelNothing;
      }
      const request: WaitingRequest = { bytes, until: clock.now() + ROOM_WAIT_MS, settle };
      waiting.add(request);
      scheduleExpiry();
      makeRoom();
      return () => {
        const wasFirst = getFirst() === request;
        waiting.delete(request);
        if (wasFirst) admitWaiting();
      };
    },
    release: (bytes) => {
      account.release(bytes);
      admitWaiting();
    },
    countWaiting: () => waiting.size,
  };
};
