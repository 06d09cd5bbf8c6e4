import { createServer } from 'node:http';
import { Duplex } from 'node:stream';
import test from 'ava';
import fc from 'fast-check';
import { createEmptyLineFinder } from './messageEnds.js';

/** Parts of heads, sound or not. */
const PART = fc.constantFrom('Name: a', 'b', ': ', ' ', '\r', '\n', '\r\n', '\r\n\r\n', '\r\n\n');

/** Finds the end of a head as the server of Node.js does, which gets a byte at a time; -1 without a request. */
const findByParser = (text: string): number => {
  let end = -1;
  let position = 0;
  const server = createServer(() => {
    if (end === -1) end = position;
  });
  server.on('clientError', () => undefined);
  const stream = new Duplex({ read: () => undefined, write: (_chunk, _encoding, done) => done() });
  server.emit('connection', stream);
  for (const byte of Buffer.from(text, 'latin1')) {
    position += 1;
    stream.push(Buffer.from([byte]));
    stream.read();
    if (end !== -1 || stream.destroyed) break;
  }
  stream.destroy();
  return end;
};

/** Finds the end of a head over chunks of one size. */
const findInChunks = (text: string, size: number): number => {
  const finder = createEmptyLineFinder();
  for (let start = 0; start < text.length; start += size) {
    const chunk = Buffer.from(text.slice(start, start + size), 'latin1');
    const end = finder.find(chunk);
    if (end !== -1) return start + end;
    finder.append(chunk);
  }
  return -1;
};

// Guards against a head whose end the parser finds and the pacing does not: all requests behind it are
// parsed at once, without memory that was reserved for them.
test('an end of a head that the parser finds is found at the same place', (t) => {
  let found = 0;
  const property = fc.property(
    fc.array(PART, { maxLength: 8 }),
    fc.integer({ min: 1, max: 12 }),
    (parts, size) => {
      const text = `GET / HTTP/1.1\r\nHost: h${parts.join('')}`;
      const end = findByParser(text);
      if (end === -1) return;
      found += 1;
      t.is(findInChunks(text, size), end, JSON.stringify(text));
    },
  );
  fc.assert(property, { seed: 31, numRuns: 2_000 });
  t.true(found > 100, found.toString());
});
