import { MAX_EVENT_BYTES } from './constants.js';
import { assertNever } from '../../core/assertNever.js';
import {
  appendChunk,
  createByteBlocks,
  listParts,
  takeParts,
} from '../../core/bytes/byteBlocks.js';
import type { ByteBlocks } from '../../core/bytes/byteBlocks.js';
import { limitText } from '../../core/limitText.js';

/** A complete event of a stream, as the bytes that were received. */
export interface StreamEvent {
  readonly bytes: Uint8Array;
  /** Value of the event's `id` field, or null without one. */
  readonly id: string | null;
}

/** What has been read of a line. */
type LineStart =
  | 'nothing'
  /** A carriage return: with the next line feed, the line is empty. */
  | 'return'
  | 'spaces'
  /** A line that begins with a colon, which endpoints send to keep a connection open. */
  | 'comment'
  | 'field';

/** Splits the bytes of one event stream; each byte is read once. Updated in place. */
export interface EventSplitter {
  /** Received bytes since the last complete event. */
  readonly rest: ByteBlocks;
  line: LineStart;
  /** What the lines before it hold. */
  lines: 'comments' | 'fields';
}

export interface SplitResult {
  readonly events: readonly StreamEvent[];
  /** `too-large`: an event exceeds `MAX_EVENT_BYTES`, so the bytes are not an event stream. */
  readonly outcome: 'ok' | 'too-large';
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;
const SPACES: ReadonlySet<number> = new Set([0x09, 0x0b, 0x0c, 0x0d, 0x20, 0xa0]);
const ID_LINE = /^id: ?(.*)$/m;

/**
 * Creates the splitter of a stream.
 *
 * @returns the splitter before the first byte
 */
export const createEventSplitter = (): EventSplitter => ({
  rest: createByteBlocks(),
  line: 'nothing',
  lines: 'comments',
});

const parseId = (bytes: Uint8Array): string | null => {
  const id = ID_LINE.exec(Buffer.from(bytes).toString('latin1'))?.[1]?.trimEnd();
  return id === undefined ? null : limitText(id, MAX_EVENT_BYTES);
};

const readByte = (line: LineStart, byte: number): LineStart => {
  switch (line) {
    case 'nothing':
      if (byte === COLON) return 'comment';
      if (byte === CARRIAGE_RETURN) return 'return';
      return SPACES.has(byte) ? 'spaces' : 'field';
    case 'return':
    case 'spaces':
      return SPACES.has(byte) ? 'spaces' : 'field';
    case 'comment':
    case 'field':
      return line;
    default:
      return assertNever(line);
  }
};

/** Reads up to the end of a line; returns the position behind it, or behind the last byte. */
const readLine = (splitter: EventSplitter, chunk: Uint8Array, from: number): number => {
  let at = from;
  while (at < chunk.length && chunk[at] !== LINE_FEED) {
    splitter.line = readByte(splitter.line, chunk[at] ?? 0);
    at += 1;
    // Nothing in the rest of such a line matters.
    if (splitter.line !== 'comment' && splitter.line !== 'field') continue;
    const end = chunk.indexOf(LINE_FEED, at);
    at = end === -1 ? chunk.length : end;
  }
  return Math.min(at + 1, chunk.length);
};

/** Handles the end of a line: an empty one ends the event before it, unless there are comments only. */
const endLine = (splitter: EventSplitter): 'event-ended' | 'goes-on' => {
  const { line, lines } = splitter;
  splitter.line = 'nothing';
  if (line === 'field') splitter.lines = 'fields';
  const isEmpty = line === 'nothing' || line === 'return';
  if (!isEmpty || lines === 'comments') return 'goes-on';
  splitter.lines = 'comments';
  return 'event-ended';
};

/** Joins the rest of earlier chunks and the end of an event. */
const takeEvent = ({ rest }: EventSplitter, end: Uint8Array): StreamEvent => {
  const bytes = rest.length === 0 ? end : Buffer.concat([...takeParts(rest), end]);
  return { bytes, id: parseId(bytes) };
};

/**
 * Reports whether a stream may end here: after its last event, endpoints send comments and blank lines only,
 * to keep the connection open. They are neither an event nor progress of the stream.
 *
 * @param splitter - splitter of the stream
 * @returns true when no line after the last event belongs to another one
 */
export const isBetweenEvents = ({ line, lines }: EventSplitter): boolean =>
  line !== 'field' && lines === 'comments';

/**
 * Copies a splitter, to find out which events further bytes would complete.
 *
 * @param splitter - splitter, which stays as it is
 * @returns the copy
 */
export const createSplitterCopy = ({ line, lines, rest }: EventSplitter): EventSplitter => {
  const copy: EventSplitter = { rest: createByteBlocks(), line, lines };
  for (const part of listParts(rest)) appendChunk(copy.rest, part);
  return copy;
};

/**
 * Splits the bytes of an event stream into events at the blank lines, so that an event that an
 * endpoint sent only in part is never forwarded. Comments are part of the event after them.
 *
 * @param splitter - splitter of the stream, which keeps the incomplete event
 * @param chunk - received bytes
 * @returns the complete events
 */
export const splitEvents = (splitter: EventSplitter, chunk: Uint8Array): SplitResult => {
  const events: StreamEvent[] = [];
  let start = 0;
  let at = 0;
  while (at < chunk.length) {
    at = readLine(splitter, chunk, at);
    if (chunk[at - 1] !== LINE_FEED || endLine(splitter) === 'goes-on') continue;
    events.push(takeEvent(splitter, chunk.subarray(start, at)));
    start = at;
  }
  // A view would keep the whole chunk in memory for as long as the rest of the event is due.
  if (start < chunk.length) appendChunk(splitter.rest, chunk.subarray(start));
  return { events, outcome: splitter.rest.length > MAX_EVENT_BYTES ? 'too-large' : 'ok' };
};
