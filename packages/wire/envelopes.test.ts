import test from 'ava';
import fc from 'fast-check';
import { encodeEnvelope } from '@connectrpc/connect/protocol';
import { endStreamFlag } from '@connectrpc/connect/protocol-connect';
import { createEnvelopeSplitter } from './envelopes.js';

const MAX_BYTES = 1_024;

// Guards against messages that are lost, joined or altered where the network cuts a stream.
test('envelopes come out whole and in order wherever the stream is cut', (t) => {
  const messages = fc.array(fc.uint8Array({ maxLength: 300 }), { maxLength: 8 });
  const sizes = fc.array(fc.integer({ min: 1, max: 200 }), { minLength: 1, maxLength: 40 });
  fc.assert(
    fc.property(messages, sizes, (sent, cuts) => {
      const stream = Buffer.concat([
        ...sent.map((data) => encodeEnvelope(0, data)),
        encodeEnvelope(endStreamFlag, Buffer.from('{}')),
      ]);
      const splitter = createEnvelopeSplitter(MAX_BYTES);
      const received = [];
      for (let from = 0, cut = 0; from < stream.length; cut += 1) {
        const size = cuts[cut % cuts.length] ?? 1;
        received.push(...splitter.split(stream.subarray(from, from + size)));
        from += size;
      }
      const texts = received.map(
        ({ kind, data }) => `${kind} ${Buffer.from(data).toString('hex')}`,
      );
      const expected = sent.map((data) => `message ${Buffer.from(data).toString('hex')}`);
      t.deepEqual(texts, [...expected, 'end-of-stream 7b7d']);
    }),
    { seed: 5, numRuns: 500 },
  );
});

// Guards against a peer that makes this process hold a message without bound.
test('a message over the bound and a compressed one are refused', (t) => {
  const large = encodeEnvelope(0, new Uint8Array(MAX_BYTES + 1));
  t.throws(() => createEnvelopeSplitter(MAX_BYTES).split(Buffer.from(large)), {
    message: /too large/,
  });
  const compressed = encodeEnvelope(1, new Uint8Array(3));
  t.throws(() => createEnvelopeSplitter(MAX_BYTES).split(Buffer.from(compressed)), {
    message: /unexpected flags/,
  });
});
