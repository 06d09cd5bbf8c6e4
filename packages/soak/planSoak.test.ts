import test from 'ava';
import { planSoak } from './planSoak.js';

// Guards against seeds of regression cases that no longer give the same faults.
test('a seed always gives the same plan', (t) => {
  t.deepEqual(planSoak(7, 20_000), planSoak(7, 20_000));
  t.notDeepEqual(planSoak(7, 20_000), planSoak(8, 20_000));
});

// Guards against a soak that leaves a kind of fault out.
test('every kind of fault comes within some seeds', (t) => {
  const kinds = new Set(
    Array.from({ length: 20 }, (_, seed) => planSoak(seed, 20_000))
      .flat()
      .map(({ fault }) => fault.kind),
  );
  t.is(kinds.size, 12);
});
