import test from 'ava';
import { MAX_EVENT_TEXT_LENGTH } from './constants.js';
import { createEventLog } from './eventLog.js';

// Guards against buffered events that keep the long texts of callers and endpoints, such as the id of
// a request or of an event: thousands of them fill the heap.
test('events keep the beginning of long texts only', (t) => {
  const events = createEventLog({
    process: 'gateway-1',
    role: 'entry',
    incarnation: 'i-1',
    clock: { now: () => 0 },
    write: () => undefined,
  });
  const text = 'x'.repeat(60_000);
  events.record('request-failed', {
    requestId: text,
    data: { lastEventId: text, requestIds: [text], version: 3 },
  });
  const limited = text.slice(0, MAX_EVENT_TEXT_LENGTH);
  t.like(events.list()[0], {
    requestId: limited,
    data: { lastEventId: limited, requestIds: [limited], version: 3 },
  });
});
