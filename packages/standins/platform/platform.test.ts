import test from 'ava';
import fc from 'fast-check';
import { DEFAULT_PLATFORM_SETTINGS } from './constants.js';
import { createInstancesChild, findVisibleInstances } from './instances/instancesChild.js';
import { createLogChild } from './log/logChild.js';
import { createRecordTable } from './log/recordTable.js';
import { startPlatformStandin } from './startPlatformStandin.js';
import type { FaultsEvent, Instance, LogEvent, PlatformEffect, PlatformSettings } from './types.js';
import { createVirtualClock } from '../../core/clock.js';

const startLog = (overrides: Partial<PlatformSettings> = {}) => {
  const clock = createVirtualClock(1_000);
  const child = createLogChild({ ...DEFAULT_PLATFORM_SETTINGS, ...overrides }, clock);
  let state = child.init().state;
  return {
    clock,
    handle: (event: LogEvent | FaultsEvent): readonly PlatformEffect[] => {
      const step = child.decide(state, event);
      state = step.state;
      return step.effects;
    },
  };
};

const append = (reply: number, ...records: readonly unknown[]): LogEvent => ({
  kind: 'append',
  reply,
  stream: 'control',
  records,
});

const read = (reply: number, from: number, waitMs = 0): LogEvent => ({
  kind: 'read',
  reply,
  stream: 'control',
  from,
  limit: 100,
  waitMs,
});

const listStatuses = (effects: readonly PlatformEffect[]): readonly (number | string)[] =>
  effects.map((effect) => (effect.kind === 'answer' ? effect.answer.status : effect.kind));

const readBodies = (effects: readonly PlatformEffect[]): readonly unknown[] =>
  effects
    .flatMap((effect) =>
      effect.kind === 'answer'
        ? (effect.answer.body as { records: { body: unknown }[] }).records
        : [],
    )
    .map(({ body }) => body);

// Guards against offsets that repeat, change or go missing when retention removes old records.
test('offsets are consecutive and retention removes only the oldest records', (t) => {
  const steps = fc.array(fc.integer({ min: 1, max: 700 }), { minLength: 1, maxLength: 20 });
  const run = (counts: readonly number[], keep: number): void => {
    const table = createRecordTable();
    let total = 0;
    for (const count of counts) {
      const bodies = Array.from({ length: count }, (_, index) => total + index);
      if (table.append('s', bodies, 0) !== total) throw new Error('wrong first offset');
      total += count;
      table.expire('s', { records: keep, ageMs: 1_000 }, 0);
      const page = table.read('s', 0, 20_000);
      if (page.firstOffset !== Math.max(0, total - keep)) throw new Error('wrong firstOffset');
      if (page.nextOffset !== total) throw new Error('wrong nextOffset');
      page.records.forEach(({ offset, body }, index) => {
        if (offset !== page.firstOffset + index || body !== offset) throw new Error('wrong record');
      });
    }
  };
  fc.assert(fc.property(steps, fc.integer({ min: 0, max: 1_500 }), run), {
    seed: 11,
    numRuns: 100,
  });
  t.pass();
});

// Guards against records that are still readable after the retention time.
test('records are removed after the retention time', (t) => {
  const log = startLog({ retentionMs: 500 });
  log.handle(append(1, 'old'));
  log.clock.advance(400);
  log.handle(append(2, 'new'));
  log.clock.advance(200);
  t.deepEqual(readBodies(log.handle(read(3, 0))), ['new']);
});

// Guards against a read that polls, misses a record, is answered twice or outlasts its wait time.
test('a waiting read is answered by the next append or when its wait time ends', (t) => {
  const log = startLog();
  t.deepEqual(listStatuses(log.handle(read(1, 0, 5_000))), ['schedule']);
  t.deepEqual(readBodies(log.handle(append(2, 'a')).slice(1)), ['a']);
  t.deepEqual(log.handle({ kind: 'read-expired', reply: 1 }), []);
  log.handle(read(3, 1, 5_000));
  t.deepEqual(listStatuses(log.handle({ kind: 'read-expired', reply: 3 })), [200]);
});

// Guards against a lost answer whose append took no effect, and against appends during an outage.
test('an append with a lost answer takes effect and a log that is down refuses appends', (t) => {
  const log = startLog();
  log.handle({ kind: 'set-faults', faults: { log: 'lose-answers' } });
  t.deepEqual(listStatuses(log.handle(append(1, 'kept'))), ['drop']);
  log.handle(read(2, 1, 5_000));
  t.deepEqual(listStatuses(log.handle({ kind: 'set-faults', faults: { log: 'down' } })), [503]);
  t.deepEqual(listStatuses(log.handle(append(3, 'refused'))), [503]);
  log.handle({ kind: 'set-faults', faults: { log: 'slow' } });
  t.deepEqual(listStatuses(log.handle(append(4, 'late'))), ['schedule']);
  log.handle({ kind: 'set-faults', faults: { log: 'up' } });
  t.deepEqual(readBodies(log.handle(read(5, 0))), ['kept']);
});

// Guards against a log without a rate limit, which would hide a missing group commit.
test('append requests above the rate limit are refused', (t) => {
  const log = startLog({ appendsPerSecond: 40 });
  const statuses = Array.from(
    { length: 12 },
    (_, index) => listStatuses(log.handle(append(index, 1)))[0],
  );
  t.deepEqual(statuses, [...Array.from({ length: 10 }, () => 200), 429, 429]);
  log.clock.advance(25);
  t.deepEqual(listStatuses(log.handle(append(13, 1))), [200]);
});

// Guards against an instance list that ignores its lag and is always current.
test('the instance list lags behind by the configured time', (t) => {
  const clock = createVirtualClock(1_000);
  const child = createInstancesChild(500, clock);
  const instance: Instance = {
    id: 'e1',
    role: 'entry',
    dataCentre: 'a',
    state: 'live',
    rpcUrl: 'http://127.0.0.1:1',
    httpUrl: 'http://127.0.0.1:2',
  };
  const put = child.decide(child.init().state, { kind: 'put-instance', reply: 1, instance }).state;
  clock.advance(400);
  const deleted = child.decide(put, { kind: 'delete-instance', reply: 2, id: 'e1' }).state;
  t.deepEqual(findVisibleInstances(deleted, 1_499), []);
  t.deepEqual(findVisibleInstances(deleted, 1_500), [instance]);
  t.deepEqual(findVisibleInstances(deleted, 1_900), []);
});

// Guards against routes that differ from section 7 of the design page.
test('the platform serves its interface over HTTP', async (t) => {
  const platform = await startPlatformStandin({
    listLagMs: 0,
    weightsBurst: 1,
    weightsPerSecond: 0.01,
  });
  t.teardown(platform.close);
  const call = async (method: string, path: string, body?: unknown) => {
    const headers: Record<string, string> = {};
    if (body !== undefined) headers['content-type'] = 'application/json';
    const request = { method, headers, body: JSON.stringify(body) };
    const response = await fetch(`${platform.url}${path}`, request);
    return {
      status: response.status,
      retryAfter: response.headers.get('retry-after'),
      body: (await response.json()) as never,
    };
  };
  const waiting = call('GET', '/streams/control/records?from=0&waitMs=30000');
  const appended = await call('POST', '/streams/control/records', {
    records: [{ n: 1 }, { n: 2 }],
  });
  t.deepEqual(appended.body, { firstOffset: 0 });
  const page: { records: { offset: number; body: unknown }[]; nextOffset: number } = (await waiting)
    .body;
  t.deepEqual([page.records.map(({ body }) => body), page.nextOffset], [[{ n: 1 }, { n: 2 }], 2]);
  t.is((await call('POST', '/streams/control/records', { records: [] })).status, 400);
  const instance = {
    role: 'endpoint',
    dataCentre: 'a',
    state: 'leaving',
    rpcUrl: 'x',
    httpUrl: 'y',
  };
  await call('PUT', '/instances/e1', instance);
  t.deepEqual((await call('GET', '/instances')).body, { instances: [{ ...instance, id: 'e1' }] });
  t.is((await call('GET', '/weights/m/v1')).status, 200);
  const limited = await call('GET', '/weights/m/v1');
  t.deepEqual([limited.status, limited.retryAfter], [429, '100']);
  await call('POST', '/faults', { log: 'lose-answers', list: 'down' });
  t.is((await call('GET', '/instances')).status, 503);
  await t.throwsAsync(call('POST', '/streams/control/records', { records: ['lost'] }));
  const kept: { records: { body: unknown }[] } = (
    await call('GET', '/streams/control/records?from=2')
  ).body;
  t.deepEqual(
    kept.records.map(({ body }) => body),
    ['lost'],
  );
});
