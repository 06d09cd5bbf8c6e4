/** Source of bytes that waits while it is paused. */
export interface PausableSource {
  readonly pause: () => unknown;
  readonly resume: () => unknown;
}

/** Limit of the bytes that some sources bring in one turn of the event loop. */
export interface ReadTurns {
  /** Records bytes that a source brought. Above the limit it is paused until a later turn. */
  readonly record: (source: PausableSource, bytes: number) => void;
}

/** Largest number of bytes that a source brings at a time: what one read of a connection takes. */
export const MAX_READ_BYTES = 64 * 1024;

/** A source that is resumed brings what it has kept while it was paused, and one further read. */
const READS_OF_RESUMED = 2;

/**
 * Share of the limit above which what is left is not renewed in each turn: to wait for the next turn wakes
 * the loop, and most turns bring a few events of streams only.
 */
const UNCOUNTED_SHARE = 0.5;

/**
 * Creates the limit. One connection is read up to 32 times in a turn, and connections that always have
 * bytes would make turns of which each lasts for a hundred ms: others wait meanwhile, and a listener
 * accepts one connection in each.
 *
 * @param maxBytes - bytes of all sources in a turn; the last read of a turn may exceed it
 * @param maxReadBytes - bytes that one source brings at a time
 * @returns the limit, with no source paused
 */
export const createReadTurns = (maxBytes: number, maxReadBytes = MAX_READ_BYTES): ReadTurns => {
  /** In the order in which they were paused. */
  const paused = new Set<PausableSource>();
  const maxResumed = Math.max(1, Math.floor(maxBytes / (READS_OF_RESUMED * maxReadBytes)));
  let leftBytes = maxBytes;
  let turn: 'none' | 'open' = 'none';

  const openTurn = (): void => {
    if (turn === 'open') return;
    turn = 'open';
    setImmediate(startTurn);
  };

  /** Resumes as many sources as fit into the turn; the others wait for their turns. */
  const startTurn = (): void => {
    turn = 'none';
    const sources = [...paused].slice(0, maxResumed);
    leftBytes = maxBytes - sources.length * maxReadBytes;
    for (const source of sources) {
      paused.delete(source);
      source.resume();
    }
    if (paused.size > 0) openTurn();
  };

  return {
    record: (source, bytes) => {
      leftBytes -= bytes;
      if (leftBytes > maxBytes * UNCOUNTED_SHARE) return;
      if (leftBytes <= 0) {
        source.pause();
        paused.add(source);
      }
      openTurn();
    },
  };
};
