/** Source of bytes that waits while it is paused. */
export interface PausableSource {
  readonly pause: () => unknown;
  readonly resume: () => unknown;
}

/** Limit of the bytes that some sources bring in one turn of the event loop. */
export interface ReadTurns {
  /** Records bytes that a source brought. Above the limit it is paused until the next turn. */
  readonly record: (source: PausableSource, bytes: number) => void;
}

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
 * @returns the limit, with no source paused
 */
export const createReadTurns = (maxBytes: number): ReadTurns => {
  const paused = new Set<PausableSource>();
  let leftBytes = maxBytes;
  let turn: 'none' | 'open' = 'none';

  const startTurn = (): void => {
    turn = 'none';
    leftBytes = maxBytes;
    const sources = [...paused];
    paused.clear();
    for (const source of sources) source.resume();
  };

  return {
    record: (source, bytes) => {
      leftBytes -= bytes;
      if (leftBytes > maxBytes * UNCOUNTED_SHARE) return;
      if (leftBytes <= 0) {
        source.pause();
        paused.add(source);
      }
      if (turn === 'open') return;
      turn = 'open';
      setImmediate(startTurn);
    },
  };
};
