import test from 'ava';
import fc from 'fast-check';
import { planGroupCommit } from './groupCommit.js';

const LIMITS = { maxRecords: 3, maxBytes: 100, maxDelayMs: 5 };

// Guards against lost or reordered appends, oversized batches, and an append that waits too long.
test('every append is planned once, in order and within the bounds of a batch', (t) => {
  const pendings = fc
    .array(fc.record({ bytes: fc.integer({ min: 1, max: 150 }), gap: fc.nat({ max: 3 }) }))
    .map((items) => {
      let since = 0;
      return items.map(({ bytes, gap }, payload) => {
        since += gap;
        return { payload, bytes, since };
      });
    });
  t.notThrows(() => {
    fc.assert(
      fc.property(pendings, fc.nat({ max: 40 }), (pending, wait) => {
        const now = (pending.at(-1)?.since ?? 0) + wait;
        const plan = planGroupCommit(pending, now, LIMITS);
        const order = [...plan.batches.flat(), ...plan.rest].map(({ payload }) => payload);
        const bounded = plan.batches.every((batch) => {
          const bytes = batch.reduce((sum, append) => sum + append.bytes, 0);
          return batch.length === 1 || (batch.length <= 3 && bytes <= 100);
        });
        const young = plan.rest.every(({ since }) => now - since < LIMITS.maxDelayMs);
        const wakes = plan.rest.length === 0 ? plan.wakeAt === null : plan.wakeAt !== null;
        return order.every((payload, index) => payload === index) && bounded && young && wakes;
      }),
      { seed: 5, numRuns: 1_000 },
    );
  });
});
