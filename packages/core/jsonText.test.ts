import test from 'ava';
import { parseJsonBytes, parseJsonText } from './jsonText.js';

const toBytes = (text: string): Uint8Array => new TextEncoder().encode(text);

// Guards against an error message without a position, which is hard to act on for a long body.
test('malformed JSON is refused with the offset of its first error', (t) => {
  const texts = ['', '{"model": ', '{"a":x}', '[1,]', '{"a":1} b', '{"a":1,/* c */"b":2}'];
  const offsets = texts.map((text) =>
    Number(/at offset (\d+)/.exec(parseJsonText(text).unwrapErr())?.[1]),
  );
  t.deepEqual(offsets, [0, 10, 5, 3, 8, 7]);
});

// Guards against invalid bytes being silently replaced before the body is forwarded to an engine.
test('bytes that are not UTF-8 are refused with their offset', (t) => {
  const bytes = Uint8Array.from([...toBytes('{"a":"é'), 0xff, ...toBytes('"}')]);
  t.is(parseJsonBytes(bytes).unwrapErr(), 'malformed UTF-8 at offset 8');
  // The input is truncated within the character that starts at offset 6.
  t.is(parseJsonBytes(bytes.subarray(0, 7)).unwrapErr(), 'malformed UTF-8 at offset 6');
});

// Guards against a stack overflow in the second parser, which finds the offset.
test('deeply nested malformed JSON is refused', (t) => {
  t.regex(parseJsonText('['.repeat(1_000_000)).unwrapErr(), /^malformed JSON/);
});

// Guards against valid JSON being refused or altered.
test('valid JSON is parsed', (t) => {
  t.deepEqual(parseJsonBytes(toBytes('{"a":["é",null]}')).unwrap(), { a: ['é', null] });
});
