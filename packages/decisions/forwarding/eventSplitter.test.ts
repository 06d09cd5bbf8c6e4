import test from 'ava';
import fc from 'fast-check';
import { EMPTY_SPLITTER, hasOnlyComments, splitEvents } from './eventSplitter.js';
import type { StreamEvent } from './eventSplitter.js';

const toText = (bytes: Uint8Array): string => Buffer.from(bytes).toString('latin1');

const splitAll = (chunks: readonly Uint8Array[]) => {
  let state = EMPTY_SPLITTER;
  const events: StreamEvent[] = [];
  for (const chunk of chunks) {
    const result = splitEvents(state, chunk);
    ({ state } = result);
    events.push(...result.events);
  }
  return { events, rest: state.rest };
};

const event = fc
  .tuple(fc.nat(999), fc.stringMatching(/^[a-z ]{0,20}$/), fc.constantFrom('\n', '\r\n'))
  .map(([id, data, end]) => `id: ${id.toString()}${end}data: ${data}${end}${end}`);

// Guards against events that are altered, lost or forwarded in part when a chunk ends inside them.
test('events and bytes do not depend on the chunk sizes', (t) => {
  const property = fc.property(
    fc.array(event, { maxLength: 6 }),
    fc.stringMatching(/^[a-z]{0,8}$/),
    fc.array(fc.integer({ min: 1, max: 7 }), { minLength: 1, maxLength: 9 }),
    (events, partial, sizes) => {
      const whole = Buffer.from(events.join('') + partial);
      const chunks: Uint8Array[] = [];
      for (let at = 0, index = 0; at < whole.length; index += 1) {
        const size = sizes[index % sizes.length] as number;
        chunks.push(whole.subarray(at, at + size));
        at += size;
      }
      const result = splitAll(chunks);
      t.deepEqual(
        result.events.map(({ bytes }) => toText(bytes)),
        events,
      );
      t.is(toText(result.rest), partial);
      t.deepEqual(
        result.events.map(({ id }) => id),
        events.map((each) => /id: (\d+)/.exec(each)?.[1]),
      );
    },
  );
  fc.assert(property, { seed: 11, numRuns: 300 });
});

// Guards against unbounded memory use when an endpoint never completes an event.
test('an incomplete event above the size limit is reported as too large', (t) => {
  const result = splitEvents(EMPTY_SPLITTER, Buffer.alloc(300 * 1024, 'x'));
  t.is(result.outcome, 'too-large');
});

// Guards against a slow but sound stream that is cut because its endpoint sends comments or blank
// lines to keep the connection open, and against comments that count as progress.
test('comments and blank lines are part of the next event', (t) => {
  const text = ': wait\n\n\n: wait\r\n\r\nid: 4\ndata: a\n\n: wait\n\n';
  for (const size of [1, 2, 3, 5, 200]) {
    let state = EMPTY_SPLITTER;
    const events: StreamEvent[] = [];
    for (let at = 0; at < text.length; at += size) {
      const result = splitEvents(state, Buffer.from(text.slice(at, at + size)));
      ({ state } = result);
      events.push(...result.events);
    }
    t.deepEqual(
      events.map(({ id }) => id),
      ['4'],
    );
    t.is(Buffer.from(events[0]?.bytes ?? []).toString() + ': wait\n\n', text);
    t.true(hasOnlyComments(state.rest));
  }
});
