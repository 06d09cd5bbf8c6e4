import test from 'ava';
import { createSchedulerChild } from './schedulerChild.js';
import { computeHealth } from './load.js';
import type { SchedulerState } from './types.js';
import { DEFAULT_ENGINE_SETTINGS } from '../constants.js';
import type { EngineFault } from '../faults.js';
import type { EngineEffect, EngineSettings, SchedulerEvent, Submission } from '../types.js';
import { createVirtualClock } from '../../../core/clock.js';
import { createRandomSource } from '../../../core/random.js';

const SETTINGS: EngineSettings = {
  ...DEFAULT_ENGINE_SETTINGS,
  warmUpMs: 100,
  rampMs: 1_000,
  coldConcurrency: 2,
  loadLagMs: 200,
  cacheEventLossShare: 0,
};

/** Runs the scheduler on a virtual clock; its timers fire in order as time advances. */
const startEngine = (overrides: Partial<EngineSettings> = {}) => {
  const clock = createVirtualClock();
  let starts = 0;
  const createStartId = (): string => `start-${(starts += 1).toString()}`;
  const environment = { now: clock.now, random: createRandomSource(3), createStartId };
  const child = createSchedulerChild({ ...SETTINGS, ...overrides }, environment);
  let timers: { readonly at: number; readonly event: SchedulerEvent }[] = [];
  const effects: EngineEffect[] = [];
  const first = child.init();
  let state: SchedulerState = first.state;
  const perform = (produced: readonly EngineEffect[]): void => {
    for (const effect of produced) {
      effects.push(effect);
      if (effect.kind !== 'schedule' || effect.event.to !== 'scheduler') continue;
      timers.push({ at: clock.now() + effect.delayMs, event: effect.event });
    }
  };
  const handle = (event: SchedulerEvent): void => {
    const step = child.decide(state, event);
    state = step.state;
    perform(step.effects);
  };
  const advance = (durationMs: number): void => {
    const end = clock.now() + durationMs;
    for (;;) {
      const due = timers.filter(({ at }) => at <= end).sort((a, b) => a.at - b.at)[0];
      if (due === undefined) break;
      timers = timers.filter((timer) => timer !== due);
      clock.advance(Math.max(0, due.at - clock.now()));
      handle(due.event);
    }
    clock.advance(end - clock.now());
  };
  perform(first.effects);
  return {
    advance,
    handle,
    effects,
    getState: () => state,
    now: clock.now,
    submit: (id: string, fields: Partial<Submission> = {}) => {
      handle({ kind: 'submit', submission: createSubmission(id, fields) });
    },
    applyFault: (fault: EngineFault) => {
      handle({ kind: 'apply-fault', fault });
    },
    list: <Kind extends EngineEffect['kind']>(kind: Kind) =>
      effects.filter(
        (effect): effect is Extract<EngineEffect, { kind: Kind }> => effect.kind === kind,
      ),
  };
};

const createSubmission = (id: string, fields: Partial<Submission>): Submission => ({
  sequence: id,
  requestId: `request-${id}`,
  priority: 0,
  promptTokens: 10,
  targetTokens: 20,
  finishReason: 'stop',
  prefix: id,
  content: 'text',
  route: undefined,
  className: undefined,
  ...fields,
});

// Guards against an engine that accepts work before it is ready.
test('a warming engine refuses work and becomes ready after its warm-up', (t) => {
  const engine = startEngine();
  engine.submit('a');
  t.deepEqual(
    engine.list('refuse').map(({ status }) => status),
    [503],
  );
  t.is(computeHealth(engine.getState(), engine.now()), 'warming');
  engine.advance(100);
  t.is(computeHealth(engine.getState(), engine.now()), 'ready');
});

// Guards against a cold engine that sustains full load, which would hide a missing ramp.
test('a cold engine slows down above its concurrency limit, a warm one does not', (t) => {
  const measure = (count: number, warmMs: number) => {
    const engine = startEngine();
    engine.advance(100 + warmMs);
    for (let index = 0; index < count; index += 1) engine.submit(`s${index.toString()}`);
    const begin = engine.now();
    while (engine.list('finish').length < count) engine.advance(1);
    return { ms: engine.now() - begin, overloads: engine.getState().stats.overloadedWhileCold };
  };
  const withinLimit = measure(2, 0);
  const aboveLimit = measure(3, 0);
  t.is(withinLimit.overloads, 0);
  t.is(aboveLimit.overloads, 1);
  t.true(aboveLimit.ms > withinLimit.ms * 4);
  t.is(measure(30, 1_000).overloads, 0);
});

// Guards against a step duration independent of the batch size, which would make batching free.
test('step duration grows with the batch and with a slow fault', (t) => {
  const engine = startEngine({ rampMs: 0 });
  engine.advance(100);
  engine.submit('a', { targetTokens: 1_000 });
  engine.advance(500);
  const alone = engine.getState().stats.tokens;
  for (let index = 0; index < 39; index += 1) {
    engine.submit(`s${index.toString()}`, { targetTokens: 1_000 });
  }
  engine.advance(500);
  const steps = engine.list('emit').length - alone;
  t.true(steps < alone * 0.6, `${steps.toString()} steps against ${alone.toString()}`);
  engine.applyFault({ kind: 'slow', factor: 4 });
  engine.advance(500);
  t.true(engine.list('emit').length - alone - steps < steps * 0.35);
});

// Guards against a restart that keeps sequences, the start identity or the warm state.
test('a cold restart and a crash lose all sequences and change the start identity', (t) => {
  const engine = startEngine({ rampMs: 0 });
  engine.advance(100);
  engine.submit('a');
  engine.advance(50);
  engine.applyFault({ kind: 'restart-cold' });
  t.deepEqual(engine.list('break'), [{ kind: 'break', sequence: 'a' }]);
  t.is(engine.getState().startId, 'start-2');
  engine.advance(5_000);
  t.is(engine.list('finish').length, 0);
  engine.applyFault({ kind: 'crash-on-content', marker: 'poison', downMs: 400 });
  engine.submit('b');
  engine.submit('c', { content: 'some poison here' });
  t.deepEqual(engine.list('crash'), [{ kind: 'crash', downMs: 400 }]);
  t.is(engine.list('break').length, 3);
  engine.advance(499);
  t.is(computeHealth(engine.getState(), engine.now()), 'warming');
  t.is(engine.getState().stats.lost, 2);
});

// Guards against a cancelled sequence or a frozen engine that continues to produce tokens.
test('a cancelled sequence produces no token and a frozen engine runs no step', (t) => {
  const engine = startEngine({ rampMs: 0 });
  engine.advance(100);
  engine.submit('a', { targetTokens: 1_000 });
  engine.submit('b', { targetTokens: 1_000 });
  engine.advance(100);
  engine.handle({ kind: 'cancel', sequence: 'a' });
  const before = engine.effects.length;
  engine.advance(100);
  const late = engine.effects
    .slice(before)
    .flatMap((effect) => (effect.kind === 'emit' ? effect.tokens : []));
  t.true(late.length > 0 && late.every(({ sequence }) => sequence === 'b'));
  engine.applyFault({ kind: 'freeze', forMs: 1_000 });
  engine.advance(20);
  const { tokens } = engine.getState().stats;
  engine.advance(900);
  t.is(engine.getState().stats.tokens, tokens);
  engine.advance(200);
  t.true(engine.getState().stats.tokens > tokens);
});

// Guards against faults that apply to other routes or classes than those of their filter.
test('error faults apply according to their filter and to the load', (t) => {
  const engine = startEngine({ rampMs: 0 });
  engine.advance(100);
  engine.applyFault({ kind: 'error-rate', share: 1, route: 'claims', status: 502 });
  engine.applyFault({ kind: 'error-rate', share: 1, class: 'report' });
  engine.submit('a', { route: 'claims' });
  engine.submit('b', { className: 'report' });
  engine.submit('c', { route: 'other', className: 'other' });
  t.deepEqual(
    engine.list('refuse').map(({ sequence, status }) => [sequence, status]),
    [
      ['a', 502],
      ['b', 500],
    ],
  );
  engine.applyFault({ kind: 'clear' });
  engine.applyFault({ kind: 'errors-under-load', aboveRunning: 1 });
  engine.submit('d');
  engine.submit('e');
  t.deepEqual(
    engine.list('refuse').map(({ sequence }) => sequence),
    ['a', 'b', 'e'],
  );
});

// Guards against load figures that are always current, which no real engine reports.
test('the load figures lag by their interval', (t) => {
  const engine = startEngine({ rampMs: 0 });
  engine.advance(150);
  engine.submit('a', { targetTokens: 1_000 });
  engine.advance(40);
  t.is(engine.getState().published.running, 0);
  engine.advance(20);
  t.is(engine.getState().published.running, 1);
  t.true(engine.getState().published.tokensPerSecond > 0);
});
