import test from 'ava';
import {
  buildEvents,
  createRequestsHarness,
  getOrder,
  SIGNED_HEAD,
  toEvent,
  toSource,
} from './requests.fixture.js';
import type { RequestsHarness } from './requests.fixture.js';
import type { AttemptOrder, GatewayEffect } from '../effects.js';

/** Silence after which a stream is continued at another endpoint. */
const LONG_SILENCE_MS = 3_700;

/** Part of the overlap that passes before the request ends; shorter than the overlap. */
const PART_OF_OVERLAP_MS = 100;

/** Time after which an order to stop a run that was not confirmed is repeated; longer than that. */
const NEXT_ORDER_MS = 150;

/** A memo may not run twice and has a backup; a summary may run again after its last event. */
const PATHS = ['/memo/1', '/summary/1'];

const findStops = (effects: readonly GatewayEffect[]) =>
  effects.flatMap((effect) => (effect.kind === 'stop-run' ? [effect] : []));

/** Starts an attempt that is answered. */
const startAnswer = (harness: RequestsHarness, order: AttemptOrder): void => {
  harness.post({ ...toEvent(order), kind: 'attempt-connected' });
  harness.post({ ...toEvent(order), kind: 'answer-started', head: SIGNED_HEAD });
};

const sendEvents = (harness: RequestsHarness, order: AttemptOrder, from: number, to: number) =>
  harness.post({ ...toEvent(order), kind: 'answer-continued', bytes: buildEvents(from, to) });

/** Continues a silent stream at a second engine, as the first one does not run it now. */
const startOverlap = (path: string) => {
  const harness = createRequestsHarness();
  harness.setStopResult('pending');
  const first = getOrder(harness.sendRequest(path));
  startAnswer(harness, first);
  sendEvents(harness, first, 1, 3);
  harness.wait(LONG_SILENCE_MS);
  const result = { kind: 'not-running' } as const;
  const source = toSource(first);
  const second = getOrder(
    harness.post({ ...toEvent(first), kind: 'run-stop-answered', source, result }),
  );
  startAnswer(harness, second);
  return { first, harness, second };
};

/** Ways in which a request ends while two engines may work on it. */
const ENDS: Readonly<
  Record<string, (harness: RequestsHarness, order: AttemptOrder) => readonly GatewayEffect[]>
> = {
  'the caller leaves': (harness, { key }) =>
    harness.post({ to: 'requests', kind: 'caller-disconnected', key }),
  'the deadline passes': (harness, { key }) =>
    harness.post({ to: 'requests', kind: 'deadline-reached', key }),
  'the daemon ends': (harness) => harness.post({ to: 'requests', kind: 'drain-ended' }),
};

// Guards against two engines that work on one request because it ended while both had it, and neither was
// told more than the close of its connection.
for (const path of PATHS) {
  for (const [name, end] of Object.entries(ENDS)) {
    test(`a request that ends in an overlap leaves one run at most: ${path}, ${name}`, (t) => {
      const { harness, second } = startOverlap(path);
      harness.wait(PART_OF_OVERLAP_MS);
      const ended = end(harness, second);
      t.is(harness.countOpen(), 0);
      t.true(findStops(ended).length > 0);
    });
  }
}

// Guards against a first engine that works on because its order to stop was not confirmed before the request
// ended at the second one.
for (const [name, end] of Object.entries({
  ...ENDS,
  'the stream ends': (harness: RequestsHarness, order: AttemptOrder) =>
    harness.post({ ...toEvent(order), kind: 'answer-ended' }),
})) {
  test(`an order to stop that was not confirmed is repeated after the request: ${name}`, (t) => {
    const { first, harness, second } = startOverlap('/memo/1');
    const [stop] = findStops(sendEvents(harness, second, 4, 5));
    t.deepEqual(stop?.source, toSource(first));
    const result = { kind: 'failed', message: 'status 409' } as const;
    const source = toSource(first);
    harness.post({ ...toEvent(first), kind: 'run-stop-answered', source, result });
    end(harness, second);
    t.is(harness.countOpen(), 0);
    const [repeated] = findStops(harness.wait(NEXT_ORDER_MS));
    t.deepEqual(repeated?.source, source);
  });
}
