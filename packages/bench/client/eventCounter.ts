/** Counts server-sent events without decoding them, so that the client stays cheap. */
export interface EventCounter {
  /** Counts the events that end in the next bytes of the stream. */
  readonly count: (bytes: Buffer) => number;
  /** Whether the stream so far ends with the end mark. */
  readonly hasEndMark: () => boolean;
}

const NEWLINE = 0x0a;
const EVENT_END = Buffer.from('\n\n');
const END_MARK = 'data: [DONE]\n\n';

/**
 * Creates the counter of one stream. Events must end with two newlines, as all servers of this
 * repository send them.
 *
 * @returns a counter at the start of a stream
 */
export const createEventCounter = (): EventCounter => {
  /** Last bytes of the stream; an event end or the end mark may be cut in two. */
  let tail: Buffer = Buffer.alloc(0);
  let lastByte: 'line-end' | 'other' = 'other';
  return {
    count: (bytes) => {
      if (bytes.length === 0) return 0;
      let events = 0;
      let from = 0;
      if (lastByte === 'line-end' && bytes[0] === NEWLINE) {
        events = 1;
        from = 1;
      }
      for (;;) {
        const foundAt = bytes.indexOf(EVENT_END, from);
        if (foundAt < 0) break;
        events += 1;
        from = foundAt + EVENT_END.length;
      }
      // A newline that ended an event does not begin the end of the next one.
      lastByte = from < bytes.length && bytes.at(-1) === NEWLINE ? 'line-end' : 'other';
      tail =
        bytes.length >= END_MARK.length
          ? bytes.subarray(-END_MARK.length)
          : Buffer.concat([tail, bytes]).subarray(-END_MARK.length);
      return events;
    },
    hasEndMark: () => tail.toString('latin1') === END_MARK,
  };
};
