import test from 'ava';
import fc from 'fast-check';
import { createMovesLogic, createNewestMoves, listExcludedVersions } from './moves.js';
import { createVirtualClock } from '../../core/clock.js';
import { MAX_NAMED_VERSIONS } from '../../decisions/forwarding/versionRoles.js';
import type { RegisteredVersion } from '../../decisions/forwarding/versionRoles.js';
import type { MovesEvent } from '../events.js';

const SERVICE = 'writer';
const FIRST = 'v1';
const RUNS = { seed: 61, numRuns: 1_000 };
const VERSIONS = [FIRST, 'v2', 'v3', 'v4'];

type Action =
  | { readonly kind: 'order'; readonly version: string }
  | { readonly kind: 'withdraw' }
  | { readonly kind: 'start' | 'stop'; readonly version: string }
  | { readonly kind: 'wait'; readonly durationMs: number };

const versionOf = fc.constantFrom(...VERSIONS);
const ACTIONS = fc.array(
  fc.oneof(
    fc.record({ kind: fc.constant<'order'>('order'), version: versionOf }),
    fc.record({ kind: fc.constant<'withdraw'>('withdraw') }),
    fc.record({ kind: fc.constantFrom<'start' | 'stop'>('start', 'stop'), version: versionOf }),
    fc.record({
      kind: fc.constant<'wait'>('wait'),
      durationMs: fc.integer({ min: 1, max: 12_000 }),
    }),
  ),
  { maxLength: 20 },
);

/** Starts the `moves` child of a gateway that has read a service with one version and no orders. */
const startMoves = () => {
  const clock = createVirtualClock(1_000);
  const logic = createMovesLogic(clock, createNewestMoves());
  let { state } = logic.init();
  let timers: readonly { readonly at: number; readonly event: MovesEvent }[] = [];
  let offset = 0;
  const logged: string[] = [];
  const registered = new Map<string, RegisteredVersion>();
  const post = (event: MovesEvent): void => {
    const step = logic.decide(state, event);
    ({ state } = step);
    for (const effect of step.effects) {
      if (effect.kind === 'log') logged.push(effect.name);
      if (effect.kind !== 'schedule' || effect.event.to !== 'moves') continue;
      timers = [...timers, { at: clock.now() + effect.delayMs, event: effect.event }];
    }
  };
  const postVersions = (): void => {
    const versions = [...registered.values()];
    post({ to: 'moves', kind: 'versions-changed', service: SERVICE, versions });
  };
  const apply = (action: Action): void => {
    switch (action.kind) {
      case 'order': {
        offset += 1;
        const order = {
          service: SERVICE,
          targetVersion: action.version,
          durationMs: 12_000,
          offset,
        };
        const changes = [{ kind: 'move-ordered' as const, order }];
        post({ to: 'moves', kind: 'moves-changed', changes, scope: 'changed' });
        return;
      }
      case 'withdraw': {
        const changes = [{ kind: 'move-withdrawn' as const, service: SERVICE }];
        post({ to: 'moves', kind: 'moves-changed', changes, scope: 'changed' });
        return;
      }
      case 'start':
        if (registered.has(action.version)) return;
        registered.set(action.version, { version: action.version, startedAt: clock.now() });
        postVersions();
        return;
      case 'stop':
        registered.delete(action.version);
        postVersions();
        return;
      case 'wait':
        clock.advance(action.durationMs);
        for (const { event } of timers.filter(({ at }) => at <= clock.now())) post(event);
        timers = timers.filter(({ at }) => at > clock.now());
    }
  };
  apply({ kind: 'start', version: FIRST });
  post({ to: 'moves', kind: 'moves-changed', changes: [], scope: 'all' });
  return {
    apply,
    logged,
    countNamed: (): number => state.versions.get(SERVICE)?.orders.named.size ?? 0,
    listRegistered: (): readonly string[] => [...registered.keys()],
    listServed: (): readonly string[] => {
      const present = new Set(registered.keys());
      const excluded = listExcludedVersions(state, SERVICE, present);
      return [...present].filter((version) => !excluded.has(version));
    },
  };
};

// Guards against an outage that lasts: whatever was ordered, some version gets the requests.
test('some registered version serves ten seconds after the last change', (t) => {
  fc.assert(
    fc.property(ACTIONS, (actions) => {
      const moves = startMoves();
      for (const action of actions) moves.apply(action);
      moves.apply({ kind: 'wait', durationMs: 10_000 });
      return moves.listRegistered().length === 0 || moves.listServed().length > 0;
    }),
    RUNS,
  );
  t.pass();
});

// Guards against requests for a version that no other one stands in for, by any order of the orders.
test('versions that were ordered before they started get nothing while another one serves', (t) => {
  fc.assert(
    fc.property(ACTIONS, (actions) => {
      const moves = startMoves();
      const ordered = new Set<string>();
      const started = new Set<string>([FIRST]);
      const trials = new Set<string>();
      for (const action of actions) {
        if (action.kind === 'stop' && action.version === FIRST) continue;
        moves.apply(action);
        if (action.kind === 'order') ordered.add(action.version);
        if (action.kind === 'start' && !started.has(action.version)) {
          started.add(action.version);
          if (ordered.has(action.version)) trials.add(action.version);
        }
        const served = moves.listServed();
        if (!served.includes(FIRST) || served.some((version) => trials.has(version))) return false;
      }
      return true;
    }),
    RUNS,
  );
  t.pass();
});

// Guards against memory, and work for each order, that grow with all orders that were ever given, and against
// a limit that acts unseen.
test('the ordered versions that are remembered are limited', (t) => {
  const moves = startMoves();
  for (let order = 0; order < 3 * MAX_NAMED_VERSIONS; order += 1) {
    moves.apply({ kind: 'order', version: `w${order.toString()}` });
  }
  t.is(moves.countNamed(), MAX_NAMED_VERSIONS);
  t.deepEqual(moves.listServed(), [FIRST]);
  const forgotten = moves.logged.filter((name) => name === 'version-forgotten');
  t.is(forgotten.length, 2 * MAX_NAMED_VERSIONS);
});
