import test from 'ava';
import fc from 'fast-check';
import { createChunkJoiner } from './chunkJoiner.js';

const FOLLOWING = 'GET /next HTTP/1.1\r\n\r\n';

interface Joined {
  /** What the parser gets. */
  readonly text: string;
  /** Bytes that belong to the body. */
  readonly takenBytes: number;
  readonly parts: number;
}

/** Joins a body that arrives in pieces of some sizes, which repeat. */
const joinPieces = (text: string, sizes: readonly number[]): Joined => {
  const joiner = createChunkJoiner();
  const bytes = Buffer.from(text, 'latin1');
  const parts: string[] = [];
  let takenBytes = 0;
  let position = 0;
  for (let index = 0; position < bytes.length; index += 1) {
    const size = sizes[index % sizes.length] ?? bytes.length;
    const piece = Buffer.from(bytes.subarray(position, position + size));
    position += piece.length;
    const joined = joiner.join(piece);
    takenBytes += joined.takenBytes;
    parts.push(...joined.parts.map((part) => Buffer.from(part).toString('latin1')));
    if (joined.takenBytes < piece.length) break;
  }
  return { text: parts.join(''), takenBytes, parts: parts.length };
};

/** Decodes a body in chunks without extensions; null if it is not whole. */
const decodeChunks = (text: string): { readonly body: string; readonly rest: string } | null => {
  let body = '';
  let rest = text;
  for (;;) {
    const line = /^([0-9a-f]+)\r\n/u.exec(rest);
    if (line === null) return null;
    const size = Number.parseInt(line[1] ?? '', 16);
    rest = rest.slice(line[0].length);
    if (size === 0) return { body, rest };
    body += rest.slice(0, size);
    if (rest.slice(size, size + 2) !== '\r\n') return null;
    rest = rest.slice(size + 2);
  }
};

const CHUNK = fc.record({
  data: fc.string({
    minLength: 1,
    maxLength: 40,
    unit: fc.constantFrom('a', '\r', '\n', '0', ';'),
  }),
  zeros: fc.nat(3),
  extension: fc.constantFrom('', ';a', ';a=b', ';a="b c;"'),
});

// Guards against a body that reaches the parser changed, or whose end is not where the caller put it: the
// rest would be read as a request of its own.
test('joined chunks have the body of the chunks, and its end', (t) => {
  fc.assert(
    fc.property(
      fc.array(CHUNK, { maxLength: 12 }),
      fc.array(fc.integer({ min: 1, max: 60 }), { minLength: 1, maxLength: 6 }),
      fc.constantFrom('\r\n', 'a: b\r\n\r\n'),
      (chunks, sizes, end) => {
        const raw = chunks.map(
          ({ data, extension, zeros }) =>
            `${'0'.repeat(zeros)}${data.length.toString(16)}${extension}\r\n${data}\r\n`,
        );
        const text = `${raw.join('')}0\r\n${end}`;
        const joined = joinPieces(text + FOLLOWING, sizes);
        t.is(joined.takenBytes, text.length);
        t.deepEqual(decodeChunks(joined.text), {
          body: chunks.map(({ data }) => data).join(''),
          rest: end,
        });
      },
    ),
    { seed: 53, numRuns: 400 },
  );
});

// Guards against a parser that is called for each byte of a body.
test('many small chunks of one piece become one chunk', (t) => {
  const { parts, text } = joinPieces('1\r\na\r\n'.repeat(1_000), [6_000]);
  t.is(text, `3e8\r\n${'a'.repeat(1_000)}\r\n`);
  t.is(parts, 3);
});

const INVALID = [
  '1 \r\na\r\n',
  '1\t\r\na\r\n',
  '1 ;x\r\na\r\n',
  '\r\na\r\n',
  '1\na\r\n',
  '1\r\nab0\r\n',
  '1\r\na\n0\r\n',
  '0x1\r\na\r\n',
  '1;a\nb\r\na\r\n',
  'fffffffffffffffff\r\na',
  `1;${'x'.repeat(20_000)}\r\na\r\n`,
];

// Guards against a framing that two readers understand in different ways.
for (const text of INVALID) {
  test(`a malformed chunk is no chunk for the parser: ${JSON.stringify(text.slice(0, 20))}`, (t) => {
    for (const sizes of [[text.length], [1]]) {
      const joined = joinPieces(`2\r\nbc\r\n${text}`, sizes);
      t.is(joined.text.at(-1), '!');
      t.true(decodeChunks(`${joined.text.slice(0, -1)}0\r\n`)?.body.startsWith('bc'));
    }
  });
}
