import { MAX_EVENT_BYTES } from './constants.js';
import { limitText } from '../../core/limitText.js';

/** A complete event of a stream, as the bytes that were received. */
export interface StreamEvent {
  readonly bytes: Uint8Array;
  /** Value of the event's `id` field, or null without one. */
  readonly id: string | null;
}

/** Received bytes of an event that is not complete yet. */
export interface SplitterState {
  readonly rest: Uint8Array;
}

export interface SplitResult {
  readonly state: SplitterState;
  readonly events: readonly StreamEvent[];
  /** `too-large`: an event exceeds `MAX_EVENT_BYTES`, so the bytes are not an event stream. */
  readonly outcome: 'ok' | 'too-large';
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id: ?(.*)$/m;

export const EMPTY_SPLITTER: SplitterState = { rest: new Uint8Array() };

const joinBytes = (left: Uint8Array, right: Uint8Array): Uint8Array => {
  if (left.length === 0) return right;
  const joined = new Uint8Array(left.length + right.length);
  joined.set(left);
  joined.set(right, left.length);
  return joined;
};

/** Returns the offset after the next blank line, or -1 without one. */
const findEventEnd = (bytes: Uint8Array, from: number): number => {
  for (let at = from; at < bytes.length; at += 1) {
    if (bytes[at] !== LINE_FEED) continue;
    const next = bytes[at + 1] === CARRIAGE_RETURN ? at + 2 : at + 1;
    if (bytes[next] === LINE_FEED) return next + 1;
  }
  return -1;
};

const parseId = (bytes: Uint8Array): string | null => {
  const id = ID_LINE.exec(Buffer.from(bytes).toString('latin1'))?.[1]?.trimEnd();
  return id === undefined ? null : limitText(id, MAX_EVENT_BYTES);
};

/**
 * Reports whether bytes of a stream have comments and blank lines only, as endpoints send them to
 * keep a connection open. They are neither an event nor progress of the stream.
 *
 * @param bytes - whole lines
 * @returns true when no line belongs to an event
 */
export const hasOnlyComments = (bytes: Uint8Array): boolean =>
  Buffer.from(bytes)
    .toString('latin1')
    .split('\n')
    .every((line) => line.startsWith(':') || line.trim() === '');

/**
 * Splits the bytes of an event stream into events at the blank lines, so that an event that an
 * endpoint sent only in part is never forwarded. Comments are part of the event after them.
 *
 * @param state - incomplete event from earlier chunks
 * @param chunk - received bytes
 * @returns the complete events and the incomplete one
 */
export const splitEvents = (state: SplitterState, chunk: Uint8Array): SplitResult => {
  const bytes = joinBytes(state.rest, chunk);
  const events: StreamEvent[] = [];
  let start = 0;
  let end = findEventEnd(bytes, Math.max(0, state.rest.length - 2));
  while (end !== -1) {
    const event = bytes.subarray(start, end);
    if (!hasOnlyComments(event)) {
      events.push({ bytes: event, id: parseId(event) });
      start = end;
    }
    end = findEventEnd(bytes, end);
  }
  // A view would keep the whole chunk in memory for as long as the rest of the event is due.
  const rest = start === 0 ? bytes : new Uint8Array(bytes.subarray(start));
  return { state: { rest }, events, outcome: rest.length > MAX_EVENT_BYTES ? 'too-large' : 'ok' };
};
