import test from 'ava';
import fc from 'fast-check';
import { MAX_HELD_REQUESTS, QUARANTINE_DURATION_MS } from './constants.js';
import { checkPlacement, decideSuspicion, initSuspicion } from './suspicion.js';
import type { Attempt, SuspicionEffect, SuspicionEvent, SuspicionState } from './types.js';

const SEED = 460;
const RUNS = 3_000;
const ENDPOINTS = 5;
const POISON_FINGERPRINTS = ['p1', 'p2'];

const anyAction = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('arrive' as const),
      fingerprint: fc.constantFrom('p1', 'p2', 'a', 'b', 'c', 'd', 'e', 'f'),
      endpoint: fc.nat(ENDPOINTS - 1),
    }),
  },
  { weight: 5, arbitrary: fc.record({ kind: fc.constant('run' as const), pick: fc.nat(100) }) },
  fc.record({ kind: fc.constant('refuse' as const), pick: fc.nat(100) }),
  fc.record({ kind: fc.constant('lose' as const), endpoint: fc.nat(ENDPOINTS - 1) }),
  fc.record({ kind: fc.constant('tick' as const), by: fc.nat(4_000) }),
);

type Action = typeof anyAction extends fc.Arbitrary<infer Value> ? Value : never;

interface Outcome {
  readonly crashes: Readonly<Record<string, number>>;
  readonly losses: Readonly<Record<string, number>>;
  readonly quarantined: ReadonlySet<string>;
}

/**
 * Simulates an entry daemon whose poison requests crash the endpoints that run them. A lost
 * endpoint restarts at once, and each loss is reported twice.
 */
const runSimulation = (actions: readonly Action[]): Outcome => {
  let state: SuspicionState = initSuspicion();
  let now = 0;
  let requestCount = 0;
  const incarnations = Array.from({ length: ENDPOINTS }, () => 0);
  const crashes: Record<string, number> = {};
  const losses: Record<string, number> = {};
  const quarantined = new Set<string>();
  const waiting = new Map<string, string>();
  const startedIsolated = new Set<string>();

  const step = (event: SuspicionEvent): void => {
    const result = decideSuspicion(state, event);
    state = result.state;
    result.effects.forEach(applyEffect);
    const running = [...startedIsolated].filter((requestId) => state.attempts.has(requestId));
    if (running.length > 1) throw new Error('two suspects ran at once');
  };

  const place = (requestId: string, fingerprint: string, choice: number): void => {
    const rule = checkPlacement(state, { whole: fingerprint, parts: [] }, now);
    if (rule.kind === 'refuse') return;
    if (rule.kind === 'hold') {
      waiting.set(requestId, fingerprint);
      step({ kind: 'held', requestId, fingerprint });
      return;
    }
    const chosen = rule.kind === 'only' ? Number(rule.endpoints[0]) : choice;
    const endpoint = rule.kind === 'isolated' ? Number(rule.endpoint ?? choice) : chosen;
    if (rule.kind === 'isolated') startedIsolated.add(requestId);
    else startedIsolated.delete(requestId);
    const incarnation = (incarnations[endpoint] ?? 0).toString();
    const attempt = {
      requestId,
      fingerprint,
      parts: [],
      endpoint: endpoint.toString(),
      incarnation,
    };
    step({ kind: 'attempt-started', ...attempt });
  };

  const applyEffect = (effect: SuspicionEffect): void => {
    if (effect.kind === 'append-quarantine') quarantined.add(effect.fingerprint);
    if (effect.kind !== 'place-held') return;
    const fingerprint = waiting.get(effect.requestId) ?? '';
    place(effect.requestId, fingerprint, requestCount % ENDPOINTS);
  };

  const loseEndpoint = (endpoint: number, cause: 'crash' | 'lost'): void => {
    const incarnation = (incarnations[endpoint] ?? 0).toString();
    incarnations[endpoint] = Number(incarnation) + 1;
    const start = { endpoint: endpoint.toString(), incarnation };
    const affected = [...state.attempts.values()].filter(
      (attempt) => attempt.endpoint === start.endpoint,
    );
    for (const fingerprint of new Set(affected.map((attempt) => attempt.fingerprint))) {
      losses[fingerprint] = (losses[fingerprint] ?? 0) + 1;
    }
    const event = { kind: 'endpoint-lost', ...start, cause, reported: [], now } as const;
    step(event);
    step(event);
  };

  const runAttempt = ({ requestId, fingerprint, endpoint }: Attempt): void => {
    if (!POISON_FINGERPRINTS.includes(fingerprint)) {
      step({ kind: 'attempt-ended', requestId, outcome: 'completed' });
      return;
    }
    crashes[fingerprint] = (crashes[fingerprint] ?? 0) + 1;
    loseEndpoint(Number(endpoint), 'crash');
  };

  for (const action of actions) {
    const attempts = [...state.attempts.values()];
    const picked =
      'pick' in action ? attempts[action.pick % Math.max(1, attempts.length)] : undefined;
    switch (action.kind) {
      case 'arrive':
        requestCount += 1;
        place(`r${requestCount.toString()}`, action.fingerprint, action.endpoint);
        break;
      case 'run':
        if (picked !== undefined) runAttempt(picked);
        break;
      case 'refuse':
        if (picked === undefined) break;
        step({ kind: 'attempt-ended', requestId: picked.requestId, outcome: 'refused' });
        break;
      case 'lose':
        loseEndpoint(action.endpoint, 'lost');
        break;
      case 'tick':
        now += action.by;
        step({ kind: 'tick', now });
        break;
    }
  }
  return { crashes, losses, quarantined };
};

// Guards against a request that crashes one endpoint after the other as its caller retries it, and
// against the quarantine of a request that was in flight at a single unrelated crash.
test('a poison request crashes at most two endpoints, and one loss quarantines no request', (t) => {
  let secondCrashes = 0;
  const property = fc.property(fc.array(anyAction, { maxLength: 120, size: 'max' }), (actions) => {
    const { crashes, losses, quarantined } = runSimulation(
      // Correlated losses clear suspects; a separate test below covers this rule.
      actions.filter((action) => action.kind !== 'lose'),
    );
    for (const [fingerprint, count] of Object.entries(crashes)) {
      if (count > 2) throw new Error(`${fingerprint} crashed ${count.toString()} endpoints`);
      if (count === 2 && !quarantined.has(fingerprint)) throw new Error('not quarantined');
      if (count === 2) secondCrashes += 1;
    }
    for (const fingerprint of quarantined) {
      if ((losses[fingerprint] ?? 0) < 2)
        throw new Error(`${fingerprint} was in flight at fewer than two losses`);
    }
  });
  fc.assert(property, { seed: SEED, numRuns: RUNS });
  t.true(secondCrashes > RUNS / 4);
});

// Guards against a quarantine after a single silent endpoint, since silence has many causes.
test('a single loss quarantines no request when endpoints also fall silent', (t) => {
  const property = fc.property(fc.array(anyAction, { maxLength: 120, size: 'max' }), (actions) => {
    const { losses, quarantined } = runSimulation(actions);
    return [...quarantined].every((fingerprint) => (losses[fingerprint] ?? 0) >= 2);
  });
  fc.assert(property, { seed: SEED, numRuns: RUNS });
  t.pass();
});

const run = (...events: readonly SuspicionEvent[]) =>
  events.reduce(
    (step, event) => decideSuspicion(step.state, event),
    decideSuspicion(initSuspicion(), { kind: 'tick', now: 0 }),
  );

const buildLoss = (endpoint: string, cause: 'crash' | 'lost', now: number): SuspicionEvent => ({
  kind: 'endpoint-lost',
  endpoint,
  incarnation: 'i',
  cause,
  reported: ['f'],
  now,
});

// Guards against the loss of a data centre after which hundreds of requests run one at a time.
test('three endpoints lost at once clear their suspects, and three crashes do not', (t) => {
  const losses = ['e1', 'e2', 'e3'].map((endpoint) => ({
    ...buildLoss(endpoint, 'lost', 0),
    reported: [endpoint],
  }));
  t.is(run(...(losses as SuspicionEvent[])).state.suspects.size, 0);
  const crashes = losses.map((loss) => ({ ...loss, cause: 'crash' as const }));
  t.is(run(...(crashes as SuspicionEvent[])).state.suspects.size, 3);
});

// Guards against a quarantine that is lost in a log outage, and against one that never expires.
test('a quarantine takes effect at once, is appended until it is read back, and expires', (t) => {
  const crashed = run(buildLoss('e1', 'crash', 0), buildLoss('e2', 'crash', 100));
  const expiresAt = 100 + QUARANTINE_DURATION_MS;
  t.deepEqual(crashed.effects, [{ kind: 'append-quarantine', fingerprint: 'f', expiresAt }]);
  t.like(checkPlacement(crashed.state, { whole: 'f', parts: [] }, 100), {
    kind: 'refuse',
    failure: { code: 'quarantined', verdict: 'not-run' },
  });
  const retried = decideSuspicion(crashed.state, { kind: 'tick', now: 5_100 });
  t.deepEqual(retried.effects, crashed.effects);
  const logged = decideSuspicion(retried.state, {
    kind: 'quarantine-record',
    fingerprint: 'f',
    expiresAt,
    now: 5_200,
  });
  t.deepEqual(decideSuspicion(logged.state, { kind: 'tick', now: 20_000 }).effects, []);
  t.is(checkPlacement(logged.state, { whole: 'f', parts: [] }, expiresAt).kind, 'anywhere');
});

// Guards against a queue of suspects that grows without bound.
test('suspects wait in a bounded queue, beyond which they are refused as not run', (t) => {
  const buildHeld = (requestId: string): SuspicionEvent => ({
    kind: 'held',
    requestId,
    fingerprint: 'f',
  });
  const start = { requestId: 'r', fingerprint: 'f', parts: [], endpoint: 'e9', incarnation: 'i' };
  const heldEvents = Array.from({ length: MAX_HELD_REQUESTS }, (_, index) =>
    buildHeld(`r${index.toString()}`),
  );
  const full = run(
    buildLoss('e1', 'crash', 0),
    { kind: 'attempt-started', ...start },
    ...heldEvents,
  );
  t.is(full.state.held.length, MAX_HELD_REQUESTS);
  const overflowed = decideSuspicion(full.state, buildHeld('last'));
  t.like(overflowed.effects[0], { kind: 'refuse-held', failure: { verdict: 'not-run' } });
  const completion = { kind: 'attempt-ended', requestId: 'r', outcome: 'completed' } as const;
  const cleared = decideSuspicion(overflowed.state, completion);
  t.is(cleared.effects.filter((effect) => effect.kind === 'place-held').length, MAX_HELD_REQUESTS);
});

// Guards against requests of different content that crash one engine after the other with a message
// that they share, and against refusing those that share other messages with them.
test('a message on which three endpoints crashed is quarantined, also at other daemons', (t) => {
  let state: SuspicionState = initSuspicion();
  const effects: SuspicionEffect[] = [];
  const post = (event: SuspicionEvent): void => {
    const step = decideSuspicion(state, event);
    ({ state } = step);
    effects.push(...step.effects);
  };
  const start = (requestId: string, endpoint: string, parts: readonly string[]): void => {
    const attempt = { requestId, fingerprint: requestId, parts, endpoint, incarnation: 'i' };
    post({ kind: 'attempt-started', ...attempt });
  };
  start('sound', 'e0', ['system', 'other']);
  post({ kind: 'attempt-answered', requestId: 'sound', now: 0 });
  for (const number of [1, 2, 3]) {
    const endpoint = `e${number.toString()}`;
    start(`r${number.toString()}`, endpoint, ['system', 'deadly']);
    post({ ...buildLoss(endpoint, 'crash', number * 1_000), reported: [] } as SuspicionEvent);
  }
  const records = effects.flatMap((effect) =>
    effect.kind === 'append-quarantine' ? [effect] : [],
  );
  t.deepEqual(
    records.map(({ fingerprint }) => fingerprint),
    ['deadly'],
  );
  const check = (checked: SuspicionState, parts: readonly string[]): string =>
    checkPlacement(checked, { whole: 'new', parts }, 4_000).kind;
  t.is(check(state, ['system', 'deadly']), 'refuse');
  t.is(check(state, ['system', 'other']), 'anywhere');
  const record = { kind: 'quarantine-record', fingerprint: 'a b', expiresAt: 9_000 } as const;
  const other = run({ ...record, now: 3_500 }).state;
  t.is(check(other, ['b', 'c', 'a']), 'refuse');
  t.is(check(other, ['b', 'c']), 'anywhere');
});
