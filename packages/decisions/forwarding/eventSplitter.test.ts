import test from 'ava';
import fc from 'fast-check';
import {
  createSplitterCopy,
  createEventSplitter,
  isBetweenEvents,
  splitEvents,
} from './eventSplitter.js';
import type { StreamEvent } from './eventSplitter.js';
import { listParts } from '../../core/bytes/byteBlocks.js';

const toText = (bytes: Uint8Array): string => Buffer.from(bytes).toString('latin1');

const splitAll = (chunks: readonly Uint8Array[]) => {
  const splitter = createEventSplitter();
  const events: StreamEvent[] = [];
  for (const chunk of chunks) events.push(...splitEvents(splitter, chunk).events);
  return { events, rest: Buffer.concat(listParts(splitter.rest)), splitter };
};

const splitText = (text: string, size: number): readonly Uint8Array[] =>
  Array.from({ length: Math.ceil(text.length / size) }, (_, index) =>
    Buffer.from(text.slice(index * size, (index + 1) * size)),
  );

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
  const result = splitEvents(createEventSplitter(), Buffer.alloc(300 * 1024, 'x'));
  t.is(result.outcome, 'too-large');
});

// Guards against a slow but sound stream that is cut because its endpoint sends comments or blank
// lines to keep the connection open, and against comments that count as progress.
test('comments and blank lines are part of the next event', (t) => {
  const text = ': wait\n\n\n: wait\r\n\r\nid: 4\ndata: a\n\n: wait\n\n';
  for (const size of [1, 2, 3, 5, 200]) {
    const chunks = splitText(text, size);
    const { events, rest, splitter } = splitAll(chunks);
    t.deepEqual(
      events.map(({ id }) => id),
      ['4'],
    );
    t.is(Buffer.from(events[0]?.bytes ?? []).toString() + ': wait\n\n', text);
    t.is(rest.toString(), ': wait\n\n');
    t.true(isBetweenEvents(splitter));
  }
});

/** Splits a whole text by the definition: an event ends at the first empty line after one of its fields. */
const splitByLines = (text: string) => {
  const events: string[] = [];
  let rest = '';
  let fields = 0;
  for (const line of text.split(/(?<=\n)/u)) {
    rest += line;
    if (!line.startsWith(':') && line.trim() !== '') fields += 1;
    if (fields === 0 || !/^\r?\n$/u.test(line)) continue;
    events.push(rest);
    rest = '';
    fields = 0;
  }
  return { events, rest, place: fields === 0 ? 'between-events' : 'inside-event' } as const;
};

// Guards against a splitter that reads a line otherwise when a chunk ends inside it, and against held bytes
// that change while it is found out which events they complete.
test('lines of all kinds are split alike in chunks of any size', (t) => {
  const line = fc.constantFrom(
    '\n',
    '\r\n',
    ' \n',
    '\r\r\n',
    ':\n',
    ': a\r\n',
    'id: 1\n',
    '\t: a\n',
    'b',
  );
  const property = fc.property(
    fc.array(line, { maxLength: 12 }),
    fc.integer({ min: 1, max: 9 }),
    (lines, size) => {
      const text = lines.join('');
      const { events, rest, splitter } = splitAll(splitText(text, size));
      const expected = splitByLines(text);
      t.deepEqual(
        events.map(({ bytes }) => toText(bytes)),
        expected.events,
      );
      t.is(toText(rest), expected.rest);
      t.is(isBetweenEvents(splitter) ? 'between-events' : 'inside-event', expected.place);
      splitEvents(createSplitterCopy(splitter), Buffer.from('id: 2\n\n'));
      t.deepEqual(Buffer.concat(listParts(splitter.rest)), rest);
    },
  );
  fc.assert(property, { seed: 12, numRuns: 500 });
});
