import test from 'ava';
import { checkEventOrder } from './eventOrder.js';
import type { StreamEvent } from './eventSplitter.js';

const build = (...ids: readonly (string | null)[]): readonly StreamEvent[] =>
  ids.map((id) => ({ id, bytes: Buffer.from(`id: ${id ?? ''}\n\n`) }));

const START = { lastEventId: null, eventsLeft: null };

// Guards against bytes that are no events but have blank lines, and that are forwarded to the caller.
test('events without an id, with a smaller one or with a repeated one do not belong to a stream', (t) => {
  t.is(checkEventOrder(build('1', '2', '5'), START).fault, null);
  for (const wrong of [null, 'x', '2', '1']) {
    const { events, fault } = checkEventOrder(build('1', '2', wrong, '3'), START);
    t.is(events.length, 2);
    t.truthy(fault);
  }
  t.truthy(checkEventOrder(build('7'), { ...START, lastEventId: '7' }).fault);
  t.is(checkEventOrder(build('1'), { ...START, lastEventId: '0' }).fault, null);
});

// Guards against a stream of well-formed events that never ends.
test('a stream has no more events than the request allows', (t) => {
  t.is(checkEventOrder(build('1', '2'), { ...START, eventsLeft: 2 }).fault, null);
  t.is(checkEventOrder(build('1', '2', '3'), { ...START, eventsLeft: 2 }).events.length, 2);
  t.truthy(checkEventOrder(build('1'), { ...START, eventsLeft: 0 }).fault);
});
