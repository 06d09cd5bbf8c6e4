import type { MemoryAccount } from '../../core/memory/types.js';

/** Bytes of answers that their callers have not read, within a limit of all together. */
export interface UnreadAnswers {
  /** Adds an answer; `measure` returns its bytes that the operating system has not accepted. */
  readonly add: (key: number, measure: () => number) => void;
  /**
   * Updates an answer after bytes were written to it.
   *
   * @returns the answers to end, those with the most unread bytes, so that the others have room
   */
  readonly update: (key: number) => readonly number[];
  readonly remove: (key: number) => void;
}

interface UnreadAnswer {
  readonly measure: () => number;
  reservedBytes: number;
}

/**
 * Creates the count of unread bytes. It is exact for an answer when bytes are written to it; what
 * callers have read since then is only noticed when room is needed.
 *
 * @param account - memory for the unread bytes of all answers
 * @returns the count without answers
 */
export const createUnreadAnswers = (account: MemoryAccount): UnreadAnswers => {
  const answers = new Map<number, UnreadAnswer>();

  const setReserved = (answer: UnreadAnswer, bytes: number): 'reserved' | 'full' => {
    const added = bytes - answer.reservedBytes;
    if (added > 0 && account.reserve(added) === 'full') return 'full';
    if (added < 0) account.release(-added);
    answer.reservedBytes = bytes;
    return 'reserved';
  };

  /** Releases what callers have read since the last update. */
  const releaseRead = (): void => {
    for (const answer of answers.values()) {
      const unread = answer.measure();
      if (unread < answer.reservedBytes) setReserved(answer, unread);
    }
  };

  const remove = (key: number): void => {
    const answer = answers.get(key);
    if (answer === undefined) return;
    setReserved(answer, 0);
    answers.delete(key);
  };

  /** Finds the answer with the most unread bytes; that of `key` counts with `bytes`. */
  const findLargest = (key: number, bytes: number): number => {
    let largestKey = key;
    let largestBytes = bytes;
    for (const [other, { reservedBytes }] of answers) {
      if (reservedBytes <= largestBytes) continue;
      largestKey = other;
      largestBytes = reservedBytes;
    }
    return largestKey;
  };

  const makeRoom = (key: number, answer: UnreadAnswer, bytes: number): readonly number[] => {
    const ended: number[] = [];
    releaseRead();
    while (setReserved(answer, bytes) === 'full') {
      const largest = findLargest(key, bytes);
      ended.push(largest);
      remove(largest);
      if (largest === key) break;
    }
    return ended;
  };

  return {
    add: (key, measure) => {
      answers.set(key, { measure, reservedBytes: 0 });
    },
    update: (key) => {
      const answer = answers.get(key);
      if (answer === undefined) return [];
      const bytes = answer.measure();
      return setReserved(answer, bytes) === 'reserved' ? [] : makeRoom(key, answer, bytes);
    },
    remove,
  };
};
