/** Finds the empty lines that end heads and chunked bodies, over the chunks in which they arrive. */
export interface EmptyLineFinder {
  /**
   * Finds the first empty line that ends in a chunk.
   *
   * @returns the position after it, or -1
   */
  readonly find: (chunk: Buffer) => number;
  /** Records that a chunk without an empty line was passed on. */
  readonly append: (chunk: Buffer) => void;
  readonly clear: () => void;
}

/**
 * Ends of a head. The parser of Node.js takes any byte for the line feed after a carriage return here, and
 * a line feed alone; it rejects other lines that end in such a way.
 */
const LONG_END = '\r\n\r';
const SHORT_END = '\r\n\n';
const ANY_END = /\r\n(?:\n|\r[^])/u;
const LONG_END_BYTES = LONG_END.length + 1;
const BORDER_BYTES = LONG_END_BYTES - 1;

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;

/** Finds the end of the first empty line that is in a chunk. */
const findWithin = (chunk: Buffer): number => {
  const long = chunk.indexOf(LONG_END, 0, 'latin1');
  const isWhole = long !== -1 && long + LONG_END_BYTES <= chunk.length;
  const short = (long === -1 ? chunk : chunk.subarray(0, long)).indexOf(SHORT_END, 0, 'latin1');
  if (short !== -1) return short + SHORT_END.length;
  return isWhole ? long + LONG_END_BYTES : -1;
};

/**
 * Creates a finder of empty lines.
 *
 * @returns the finder, before the first chunk
 */
export const createEmptyLineFinder = (): EmptyLineFinder => {
  /** Last bytes before the chunk, in which an empty line may begin. */
  let before = '';

  const findAcross = (chunk: Buffer): number => {
    const text = before + chunk.toString('latin1', 0, BORDER_BYTES);
    const found = ANY_END.exec(text);
    return found === null ? -1 : found.index + found[0].length - before.length;
  };

  return {
    find: (chunk) => {
      const across = before === '' ? -1 : findAcross(chunk);
      return across === -1 ? findWithin(chunk) : across;
    },
    append: (chunk) => {
      before = (before + chunk.toString('latin1', Math.max(0, chunk.length - BORDER_BYTES))).slice(
        -BORDER_BYTES,
      );
    },
    clear: () => {
      before = '';
    },
  };
};

/**
 * Counts the lines that end in a head.
 *
 * @param chunk - bytes of the head
 * @returns number of lines
 */
export const countLines = (chunk: Buffer): number => {
  let lines = 0;
  for (const byte of chunk) if (byte === LINE_FEED) lines += 1;
  return lines;
};

/**
 * Counts the line ends at the begin of a chunk. The parser ignores those before a request.
 *
 * @param chunk - bytes
 * @returns number of bytes before the first other one
 */
export const countLineEnds = (chunk: Buffer): number => {
  const start = chunk.findIndex((byte) => byte !== LINE_FEED && byte !== CARRIAGE_RETURN);
  return start === -1 ? chunk.length : start;
};
