import test from 'ava';
import fc from 'fast-check';
import { createEventCounter } from './eventCounter.js';

// Guards against tokens that are lost or counted twice where a stream is split into several reads.
test('every event is counted once wherever the stream is split', (t) => {
  const stream = Buffer.from(
    'id: a.0\ndata: {"n":0}\n\ndata: {"n":1}\n\ndata: {"n":2}\n\ndata: [DONE]\n\n',
  );
  const cuts = fc.array(fc.integer({ min: 0, max: stream.length }), { maxLength: 12 });
  fc.assert(
    fc.property(cuts, (offsets) => {
      const counter = createEventCounter();
      const bounds = [0, ...offsets.sort((left, right) => left - right), stream.length];
      const counted = bounds
        .slice(1)
        .map((end, index) => counter.count(stream.subarray(bounds[index], end)))
        .reduce((left, right) => left + right, 0);
      return counted === 4 && counter.hasEndMarker();
    }),
    { seed: 11, numRuns: 2_000 },
  );
  t.pass();
});

// Guards against a truncated answer that counts as a complete one.
test('a stream without its end marker is recognised as incomplete', (t) => {
  const counter = createEventCounter();
  counter.count(Buffer.from('data: {"n":0}\n\nevent: error\ndata: {}\n\n'));
  t.false(counter.hasEndMarker());
});
