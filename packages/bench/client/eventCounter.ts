/** Counts server-sent events without decoding them, which keeps the client's processor time low. */
export interface EventCounter {
  /** Counts the events that end within the next bytes of the stream. */
  readonly count: (bytes: Buffer) => number;
  /** Reports whether the bytes so far end with the end marker. */
  readonly hasEndMarker: () => boolean;
}

const NEWLINE = 0x0a;
const EVENT_END = Buffer.from('\n\n');
const END_MARKER = 'data: [DONE]\n\n';

/**
 * Creates the counter of one stream. Each event must end with two newlines, as those of all servers
 * of this repository do.
 *
 * @returns a counter at the start of a stream
 */
export const createEventCounter = (): EventCounter => {
  /** Last bytes of the stream, as the end marker may be split between two reads. */
  let tail: Buffer = Buffer.alloc(0);
  /** `line-end` after a newline that does not end an event; the next byte may then end it. */
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
      // A newline that already ended an event does not count towards the end of the next one.
      lastByte = from < bytes.length && bytes.at(-1) === NEWLINE ? 'line-end' : 'other';
      tail =
        bytes.length >= END_MARKER.length
          ? bytes.subarray(-END_MARKER.length)
          : Buffer.concat([tail, bytes]).subarray(-END_MARKER.length);
      return events;
    },
    hasEndMarker: () => tail.toString('latin1') === END_MARKER,
  };
};
