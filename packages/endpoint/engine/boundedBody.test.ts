import test from 'ava';
import { readBoundedBody } from './boundedBody.js';
import { countKeptParts } from '../../core/bytes/keptParts.fixture.js';

const MAX_BYTES = 10_000;
const readBody = (parts: AsyncIterable<Uint8Array>): Promise<Buffer> =>
  readBoundedBody(parts, MAX_BYTES);

// Guards against an answer in chunks of one byte that takes some 200 times its size.
test('the chunks of an answer are not kept, however small they are', async (t) => {
  const kept = [await countKeptParts(1_000, readBody), await countKeptParts(2_000, readBody)];
  t.true(Math.max(...kept) <= 2, kept.join(', '));
});

// Guards against an answer without end.
test('an answer above the limit is not read on', async (t) => {
  await t.throwsAsync(countKeptParts(MAX_BYTES + 1, readBody), { message: /exceeds 10000 bytes/u });
});
