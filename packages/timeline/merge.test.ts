import test from 'ava';
import fc from 'fast-check';
import { mergeTimelines, selectEvents } from './merge.js';
import { buildEvent, buildLog } from './events.fixture.js';
import type { MergedEvent, ProcessLog } from './types.js';
import type { EventDetails, LoggedEvent } from '../core/events/types.js';

const RUNS = { seed: 20_241, numRuns: 300 };

const findOrder = (
  merged: readonly MergedEvent[],
  matches: (event: LoggedEvent) => boolean,
): number => merged.find(({ event }) => matches(event))?.order ?? -1;

/** A consistent history: steps of processes in real order, some with a message or an offset. */
const historyArbitrary = fc.record({
  skews: fc.array(fc.integer({ min: -1e6, max: 1e6 }), { minLength: 4, maxLength: 4 }),
  steps: fc.array(
    fc.record({
      process: fc.nat(3),
      action: fc.constantFrom('local', 'send', 'receive', 'append', 'read'),
      pick: fc.nat(),
    }),
    { maxLength: 60 },
  ),
});

interface History {
  readonly logs: readonly ProcessLog[];
  /** Ids `process:sequence` of events that must keep their order, the earlier one first. */
  readonly pairs: readonly (readonly [string, string])[];
}

const buildHistory = (input: {
  readonly skews: readonly number[];
  readonly steps: readonly { process: number; action: string; pick: number }[];
}): History => {
  const events: LoggedEvent[][] = [[], [], [], []];
  const pairs: [string, string][] = [];
  const sent: string[] = [];
  const appended: string[] = [];
  input.steps.forEach(({ process, action, pick }, time) => {
    const list = events[process] ?? [];
    const id = `${process.toString()}:${list.length.toString()}`;
    const at = time + (input.skews[process] ?? 0);
    if (list.length > 0) pairs.push([`${process.toString()}:${(list.length - 1).toString()}`, id]);
    let details: EventDetails = {};
    let name: LoggedEvent['name'] = 'request-received';
    if (action === 'send') {
      sent.push(id);
      details = { sent: id };
    } else if (action === 'receive' && sent.length > 0) {
      const message = sent[pick % sent.length] ?? '';
      details = { received: message };
      pairs.push([message, id]);
    } else if (action === 'append') {
      appended.push(id);
      details = { position: { stream: 'control', offset: appended.length - 1 } };
      name = 'operator-record-accepted';
      if (appended.length > 1) pairs.push([appended.at(-2) ?? '', id]);
    } else if (action === 'read' && appended.length > 0) {
      // Only the newest record is read, which keeps the offsets of the history in order.
      details = { position: { stream: 'control', offset: appended.length - 1 } };
      name = 'configuration-applied';
      pairs.push([appended.at(-1) ?? '', id]);
    }
    list.push(buildEvent(process.toString(), list.length, at, details, name));
  });
  return { logs: events.map((list, process) => buildLog(process.toString(), list)), pairs };
};

const toId = (event: LoggedEvent): string => `${event.process}:${event.sequence.toString()}`;

// Guards against an effect that is ordered before its cause because of clock skew.
test('the merge is a linear extension of the partial order under any clock skew', (t) => {
  fc.assert(
    fc.property(historyArbitrary, (input) => {
      const { logs, pairs } = buildHistory(input);
      const merged = mergeTimelines(logs);
      const positions = new Map(merged.map(({ event, order }) => [toId(event), order]));
      const total = logs.reduce((sum, log) => sum + log.events.length, 0);
      return (
        merged.length === total &&
        positions.size === total &&
        pairs.every(
          ([first, second]) =>
            first === second || (positions.get(first) ?? -1) < (positions.get(second) ?? -1),
        )
      );
    }),
    RUNS,
  );
  t.pass();
});

// Guards against different orders for two operators who read the same logs.
test('the merge does not depend on the order of the logs or on duplicate logs', (t) => {
  fc.assert(
    fc.property(historyArbitrary, (input) => {
      const { logs } = buildHistory(input);
      const doubled = [...logs].reverse().concat(logs);
      t.deepEqual(mergeTimelines(doubled), mergeTimelines(logs));
    }),
    { ...RUNS, numRuns: 50 },
  );
});

// Guards against a merge that hangs or loses events when the logs contradict each other.
test('contradictory logs still yield every event once and in sequence', (t) => {
  const cyclic = [
    buildLog('a', [buildEvent('a', 0, 0, { received: 'y' }), buildEvent('a', 1, 1, { sent: 'x' })]),
    buildLog('b', [buildEvent('b', 0, 0, { received: 'x' }), buildEvent('b', 1, 1, { sent: 'y' })]),
  ];
  const merged = mergeTimelines(cyclic);
  t.is(merged.length, 4);
  for (const process of ['a', 'b']) {
    const processEvents = merged.filter(({ event }) => event.process === process);
    t.deepEqual(
      processEvents.map(({ event }) => event.sequence),
      [0, 1],
    );
  }
});

// Guards against an offset or append edge that overrides a message. A reader can log a record
// before its appender does.
test('a message takes precedence over the offset order and the append order', (t) => {
  const position = { stream: 'intents', offset: 7 };
  const merged = mergeTimelines([
    buildLog('a', [
      buildEvent('a', 0, 500, { received: 'early' }),
      buildEvent('a', 1, 501, { position }, 'intent-appended'),
    ]),
    buildLog('b', [
      buildEvent('b', 0, 900, { position }, 'intent-void'),
      buildEvent('b', 1, 901, { sent: 'early' }),
    ]),
  ]);
  t.true(
    findOrder(merged, (event) => event.sent === 'early') <
      findOrder(merged, (event) => event.received === 'early'),
  );
});

// Guards against ordering by skewed clocks. Messages in both directions reveal the skew.
test('events without a causal order are sorted by estimated time', (t) => {
  const skew = 10_000;
  const merged = mergeTimelines([
    buildLog('a', [
      buildEvent('a', 0, 0, { sent: 'there' }),
      buildEvent('a', 1, 20, { received: 'back' }),
      buildEvent('a', 2, 40, { entity: 'first' }),
    ]),
    buildLog('b', [
      buildEvent('b', 0, skew + 10, { received: 'there' }),
      buildEvent('b', 1, skew + 10, { sent: 'back' }),
      buildEvent('b', 2, skew + 30, { entity: 'second' }),
    ]),
  ]);
  const second = merged.find(({ event }) => event.entity === 'second');
  t.is(second?.estimatedAt, 30);
  t.deepEqual(
    merged.slice(-2).map(({ event }) => event.entity),
    ['second', 'first'],
  );
});

// Guards against a filter that misses an event whose endpoint is a field of its data.
test('a selection keeps the events that match every field that is set', (t) => {
  const merged = mergeTimelines([
    buildLog('a', [
      buildEvent('a', 0, 0, { requestId: 'r1', endpoint: 'e1' }),
      buildEvent('a', 1, 1, { requestId: 'r1', data: { endpoint: 'e2' } }),
      buildEvent('a', 2, 2, { requestId: 'r2', endpoint: 'e2', dataCentre: 'dc-a' }),
    ]),
  ]);
  const orders = (selection: Parameters<typeof selectEvents>[1]): readonly number[] =>
    selectEvents(merged, selection).map(({ order }) => order);
  t.deepEqual(orders({ requestId: 'r1', endpoint: 'e2' }), [1]);
  t.deepEqual(orders({ dataCentre: 'dc-a' }), [2]);
  t.deepEqual(orders({}), [0, 1, 2]);
});
