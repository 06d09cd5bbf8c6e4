import test from 'ava';
import { planSoak } from './planSoak.js';

const PROFILES = ['faults', 'planned'] as const;

const listKinds = (profile: (typeof PROFILES)[number]): readonly string[] => [
  ...new Set(
    Array.from({ length: 20 }, (_, seed) => planSoak(seed, 20_000, profile))
      .flat()
      .map(({ fault }) => fault.kind),
  ),
];

// Guards against regression cases whose seeds no longer produce the faults that they are meant to
// reproduce.
test('equal seeds produce equal plans', (t) => {
  for (const profile of PROFILES) {
    t.deepEqual(planSoak(7, 20_000, profile), planSoak(7, 20_000, profile));
    t.notDeepEqual(planSoak(7, 20_000, profile), planSoak(8, 20_000, profile));
  }
});

// Guards against a kind of fault that no soak ever injects.
test('twenty seeds cover every kind of fault', (t) => {
  const kinds = new Set(PROFILES.flatMap(listKinds));
  t.is(kinds.size, 15);
  t.is(listKinds('faults').length, 13);
});

// Guards against a disruption in a plan of planned work, which would excuse lost requests.
test('planned work consists of changes that operators order and of silences', (t) => {
  t.deepEqual(listKinds('planned').toSorted(), [
    'configure-series',
    'reload',
    'restart-gateways',
    'worker-leave',
    'worker-silence',
  ]);
  const leaves = planSoak(3, 200_000, 'planned').filter(
    ({ fault }) => fault.kind === 'worker-leave' && fault.notice === 'untold',
  );
  t.deepEqual(leaves, []);
});
