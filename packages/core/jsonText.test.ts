import test from 'ava';
import { parseJsonBytes, parseJsonText } from './jsonText.js';

const toBytes = (text: string): Uint8Array => new TextEncoder().encode(text);

// Guards against an error that leaves its reader to search a long body for the fault.
test('malformed JSON is refused with the offset of its first error', (t) => {
  const texts = ['', '{"model": ', '{"a":x}', '[1,]', '{"a":1} b', '{"a":1,/* c */"b":2}'];
  const offsets = texts.map((text) =>
    Number(/at offset (\d+)/.exec(parseJsonText(text).unwrapErr())?.[1]),
  );
  t.deepEqual(offsets, [0, 10, 5, 3, 8, 7]);
});

// Guards against bytes that are replaced by others on the way to an engine.
test('bytes that are not UTF-8 are refused with their offset', (t) => {
  const bytes = Uint8Array.from([...toBytes('{"a":"é'), 0xff, ...toBytes('"}')]);
  t.is(parseJsonBytes(bytes).unwrapErr(), 'malformed UTF-8 at offset 8');
  // The cut falls inside the character that starts at offset 6.
  t.is(parseJsonBytes(bytes.subarray(0, 7)).unwrapErr(), 'malformed UTF-8 at offset 6');
});

// Guards against a stack overflow in the search for the offset.
test('a deeply nested malformed text is refused as well', (t) => {
  t.regex(parseJsonText('['.repeat(1_000_000)).unwrapErr(), /^malformed JSON/);
});

// Guards against a check that refuses or changes good JSON.
test('JSON is parsed', (t) => {
  t.deepEqual(parseJsonBytes(toBytes('{"a":["é",null]}')).unwrap(), { a: ['é', null] });
});
