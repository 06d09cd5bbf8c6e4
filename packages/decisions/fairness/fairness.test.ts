import test from 'ava';
import fc from 'fast-check';
import {
  countWaiting,
  createQueueState,
  decideQueue,
  findRequest,
  listHeads,
} from './decideQueue.js';
import type { QueueEffect, QueueEvent, QueueState, WaitingRequest } from './types.js';

const SETTINGS = { maxWaiting: 40, maxWaitingPerClass: 24, retryAfterMs: 500 };
const RUNS = { seed: 977, numRuns: 300 };
const IMPORTANCE = { lookup: 'critical', memo: 'standard', summary: 'background' } as const;

const buildRequest = (
  requestId: string,
  customer: string,
  changes: Partial<WaitingRequest> = {},
): WaitingRequest => ({
  requestId,
  className: 'memo',
  importance: 'standard',
  resource: 'draft',
  customer,
  weight: 1,
  predictedTokens: 100,
  enqueuedAt: 0,
  latestStartAt: 10_000,
  ...changes,
});

const addAll = (state: QueueState, requests: readonly WaitingRequest[]) =>
  requests.reduce<{ readonly state: QueueState; readonly effects: readonly QueueEffect[] }>(
    (step, request) => {
      const next = decideQueue(step.state, { kind: 'enqueue', request });
      return { state: next.state, effects: [...step.effects, ...next.effects] };
    },
    { state, effects: [] },
  );

const serveNext = (state: QueueState) => {
  const [head] = listHeads(state);
  return head === undefined
    ? undefined
    : { request: head, ...decideQueue(state, { kind: 'dequeue', requestId: head.requestId }) };
};

const action = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('enqueue' as const),
      customer: fc.constantFrom('a', 'b', 'c'),
      className: fc.constantFrom<(keyof typeof IMPORTANCE)[]>('lookup', 'memo', 'summary'),
      resource: fc.constantFrom('draft', 'sort'),
      predictedTokens: fc.integer({ min: 1, max: 5_000 }),
      timeToDeadline: fc.integer({ min: 0, max: 60 }),
    }),
  },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('dequeue' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('tick' as const) }) },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant('cancel' as const), id: fc.nat(200) }),
  },
);

// Guards against requests that are lost, served twice, overtaken by later ones of their own
// customer, or queued above the bounds, for any order of events.
test('every request ends once, customers are served in order, and the bounds hold', (t) => {
  fc.assert(
    fc.property(fc.array(action, { maxLength: 200 }), (actions) => {
      let state = createQueueState(SETTINGS);
      const ended = new Map<string, number>();
      const added = new Map<string, WaitingRequest>();
      const lastServed = new Map<string, number>();
      let isValid = true;
      const countEnd = (id: string) => ended.set(id, (ended.get(id) ?? 0) + 1);
      const apply = (event: QueueEvent): void => {
        const step = decideQueue(state, event);
        state = step.state;
        for (const effect of step.effects) {
          if (effect.kind === 'refuse') countEnd(effect.requestId);
          if (effect.kind !== 'serve') continue;
          const { request } = effect;
          countEnd(request.requestId);
          const lane = [request.className, request.resource, request.customer].join();
          const number = Number(request.requestId);
          isValid &&= number > (lastServed.get(lane) ?? -1);
          lastServed.set(lane, number);
        }
      };
      actions.forEach((item, now) => {
        switch (item.kind) {
          case 'enqueue': {
            const { className } = item;
            const request = buildRequest(now.toString(), item.customer, {
              className,
              importance: IMPORTANCE[className],
              resource: item.resource,
              predictedTokens: item.predictedTokens,
              enqueuedAt: now,
              latestStartAt: now + item.timeToDeadline,
            });
            added.set(request.requestId, request);
            apply({ kind: 'enqueue', request });
            break;
          }
          case 'dequeue': {
            const [head] = listHeads(state);
            if (head === undefined) break;
            apply({ kind: 'dequeue', requestId: head.requestId });
            apply({ kind: 'dequeue', requestId: head.requestId });
            apply({ kind: 'settle', request: head, actualTokens: now * 30 });
            break;
          }
          case 'tick':
            apply({ kind: 'tick', now });
            break;
          case 'cancel': {
            const id = item.id.toString();
            if (findRequest(state, id) !== undefined) countEnd(id);
            apply({ kind: 'cancel', requestId: id });
            break;
          }
        }
        isValid &&= countWaiting(state) <= SETTINGS.maxWaiting;
      });
      for (let next = serveNext(state); next !== undefined; next = serveNext(state)) {
        state = next.state;
        countEnd(next.request.requestId);
      }
      return (
        isValid &&
        state.lanes.size === 0 &&
        ended.size === added.size &&
        [...ended.values()].every((count) => count === 1)
      );
    }),
    RUNS,
  );
  t.pass();
});

// Guards against large customers that starve a small one: at most one request of each other
// customer is served before its request.
test('a small customer waits for at most one request of each large one', (t) => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 4 }),
      fc.array(fc.integer({ min: 1, max: 5_000 }), { minLength: 5, maxLength: 20 }),
      fc.nat(10),
      (large, costs, served) => {
        const backlog = costs.map((predictedTokens, index) =>
          buildRequest(index.toString(), `large-${(index % large).toString()}`, {
            predictedTokens,
          }),
        );
        let { state } = addAll(createQueueState(SETTINGS), backlog);
        for (let count = 0; count < served; count += 1) state = serveNext(state)?.state ?? state;
        state = addAll(state, [buildRequest('small', 'small')]).state;
        let tokens = 0;
        for (let next = serveNext(state); next !== undefined; next = serveNext(state)) {
          if (next.request.requestId === 'small') break;
          tokens += next.request.predictedTokens;
          state = next.state;
        }
        return tokens <= large * Math.max(...costs);
      },
    ),
    RUNS,
  );
  t.pass();
});

// Guards against shedding important classes, or the requests of a small customer, first.
test('the least important class is shed first, and within a class the largest backlog', (t) => {
  const summaries = Array.from({ length: 20 }, (_, index) =>
    buildRequest(`s${index.toString()}`, 'large', {
      className: 'summary',
      importance: 'background',
    }),
  );
  const memos = Array.from({ length: 24 }, (_, index) =>
    buildRequest(`m${index.toString()}`, index < 4 ? 'small' : 'large'),
  );
  const { state, effects } = addAll(createQueueState(SETTINGS), [
    ...summaries,
    ...memos,
    buildRequest('m24', 'small'),
  ]);
  const refused = effects.flatMap((effect) =>
    effect.kind === 'refuse' ? [`${effect.requestId} ${effect.failure.code}`] : [],
  );
  t.deepEqual(refused, ['s19 shed', 's18 shed', 's17 shed', 's16 shed', 'm23 overloaded']);
  t.true(effects.every((item) => item.kind !== 'refuse' || item.failure.verdict === 'not-run'));
  t.is(listHeads(state)[0]?.className, 'memo');
});

// Guards against starting a request that can no longer meet its deadline.
test('requests that cannot start in time are refused and leave the queue', (t) => {
  const { state } = addAll(createQueueState(SETTINGS), [
    buildRequest('late', 'a', { latestStartAt: 100 }),
    buildRequest('early', 'a'),
  ]);
  const step = decideQueue(state, { kind: 'tick', now: 101 });
  t.deepEqual(
    step.effects.map((effect) => (effect.kind === 'refuse' ? effect.failure.code : effect.kind)),
    ['deadline-exceeded'],
  );
  t.is(listHeads(step.state)[0]?.requestId, 'early');
});

// Guards against a customer that gets more than its share through answers longer than predicted.
test('tokens beyond the prediction are charged to the customer', (t) => {
  const requests = ['a1', 'a2', 'b1', 'b2'].map((id) => buildRequest(id, id.slice(0, 1)));
  let { state } = addAll(createQueueState(SETTINGS), requests);
  const first = serveNext(state);
  t.is(first?.request.requestId, 'a1');
  state = first?.state ?? state;
  const request = requests[0] as WaitingRequest;
  state = decideQueue(state, { kind: 'settle', request, actualTokens: 1_000 }).state;
  const order: string[] = [];
  for (let next = serveNext(state); next !== undefined; next = serveNext(state)) {
    order.push(next.request.requestId);
    state = next.state;
  }
  t.deepEqual(order, ['b1', 'b2', 'a2']);
});
