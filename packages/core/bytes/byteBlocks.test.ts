import test from 'ava';
import fc from 'fast-check';
import { appendChunk, createByteBlocks, listParts } from './byteBlocks.js';

const build = (chunks: readonly Uint8Array[]) => {
  const target = createByteBlocks();
  for (const chunk of chunks) appendChunk(target, chunk);
  return target;
};

// Guards against bytes that are lost, doubled or moved between blocks.
test('the parts hold the chunks in order, whatever their sizes', (t) => {
  fc.assert(
    fc.property(fc.array(fc.uint8Array({ maxLength: 9_000 }), { maxLength: 12 }), (chunks) => {
      const target = build(chunks);
      t.deepEqual(Buffer.concat(listParts(target)), Buffer.concat(chunks));
      t.is(target.length, Buffer.concat(chunks).length);
    }),
    { seed: 36, numRuns: 100 },
  );
});

// Guards against chunks of a few bytes that take several times their size (a body in chunks of one
// byte), and against blocks that are mostly empty.
test('the blocks take less than twice the bytes and a few large blocks', (t) => {
  const bytes = new Uint8Array(300_000);
  for (const size of [1, 7, 1_000, 65_536, 300_000]) {
    const chunks = Array.from({ length: Math.ceil(bytes.length / size) }, (_, index) =>
      bytes.subarray(index * size, (index + 1) * size),
    );
    const { allocatedBytes, blocks, length } = build(chunks);
    t.is(length, bytes.length);
    t.true(allocatedBytes <= 2 * bytes.length + 4_096, size.toString());
    t.true(blocks.length <= 12, size.toString());
  }
});

// Guards against a small answer that takes a whole block.
test('a single chunk takes its own size', (t) => {
  t.is(build([new Uint8Array(800)]).allocatedBytes, 800);
});
