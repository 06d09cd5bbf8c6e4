import test from 'ava';
import { planSoak } from './planSoak.js';

// Guards against regression cases whose seeds no longer produce the faults that they are meant to
// reproduce.
test('equal seeds produce equal plans', (t) => {
  t.deepEqual(planSoak(7, 20_000), planSoak(7, 20_000));
  t.notDeepEqual(planSoak(7, 20_000), planSoak(8, 20_000));
});

// Guards against a kind of fault that no soak ever injects.
test('twenty seeds cover every kind of fault', (t) => {
  const kinds = new Set(
    Array.from({ length: 20 }, (_, seed) => planSoak(seed, 20_000))
      .flat()
      .map(({ fault }) => fault.kind),
  );
  t.is(kinds.size, 12);
});
