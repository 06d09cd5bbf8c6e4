import { endStreamFlag } from '@connectrpc/connect/protocol-connect';

/** One message of a stream in the Connect protocol, as it was framed. */
export interface Envelope {
  readonly kind: 'message' | 'end-of-stream';
  readonly data: Uint8Array;
}

/** Splits the bytes of one stream into envelopes. */
export interface EnvelopeSplitter {
  /**
   * Takes the next bytes of the stream.
   *
   * @returns the envelopes that these bytes complete
   * @throws Error when a frame is compressed or larger than the bound
   */
  readonly split: (bytes: Buffer) => readonly Envelope[];
}

/** Flags and big-endian length before each message. */
const HEAD_BYTES = 5;

const NO_BYTES: Buffer = Buffer.alloc(0);

const toKind = (flags: number): Envelope['kind'] => {
  switch (flags) {
    case 0:
      return 'message';
    case endStreamFlag:
      return 'end-of-stream';
    default:
      throw new Error(`unexpected flags ${flags.toString()} of an envelope`);
  }
};

/**
 * Creates the splitter of one stream. Most reads hold whole envelopes, which are not copied.
 *
 * @param maxBytes - largest message that is accepted
 * @returns a splitter at the start of a stream
 */
export const createEnvelopeSplitter = (maxBytes: number): EnvelopeSplitter => {
  let rest = NO_BYTES;
  return {
    split: (bytes) => {
      const all = rest.length === 0 ? bytes : Buffer.concat([rest, bytes]);
      const envelopes: Envelope[] = [];
      let from = 0;
      while (all.length - from >= HEAD_BYTES) {
        const length = all.readUInt32BE(from + 1);
        if (length > maxBytes)
          throw new Error(`a message of ${length.toString()} bytes is too large`);
        const end = from + HEAD_BYTES + length;
        if (end > all.length) break;
        envelopes.push({
          kind: toKind(all[from] ?? 0),
          data: all.subarray(from + HEAD_BYTES, end),
        });
        from = end;
      }
      rest = from === all.length ? NO_BYTES : all.subarray(from);
      return envelopes;
    },
  };
};
