import test from 'ava';
import type { EntryEffect, EntryEvent } from './events.js';
import { performEffect } from './perform.js';
import type { EntryAdapters } from './perform.js';

const fail = (): never => {
  throw new Error('a defect');
};

/** Adapters whose responders fail; `posted`, `recorded` and `closed` collect what follows. */
const createFailingAdapters = () => {
  const posted: EntryEvent[] = [];
  const recorded: string[] = [];
  const closed: string[] = [];
  const adapters = {
    loop: () => ({
      post: (event: EntryEvent) => {
        posted.push(event);
        return 'queued';
      },
    }),
    events: {
      record: (name: string) => {
        recorded.push(name);
      },
    },
    responders: {
      sendAnswer: fail,
      failRequest: fail,
      finishGeneration: fail,
      closeConnection: (requestId: string) => {
        closed.push(requestId);
      },
    },
    tickets: { remove: () => undefined },
    platform: { fetchList: fail },
  } as unknown as EntryAdapters;
  return { adapters, posted, recorded, closed };
};

const REQUEST = { requestId: 'r-1' } as const;

// Guards against an exception of one request that ends the entry daemon with all other requests, or
// that leaves its caller without an end.
test('an exception of an effect for one request ends that request only', (t) => {
  const effects: readonly EntryEffect[] = [
    {
      kind: 'send-answer',
      ...REQUEST,
      answer: { status: 200, headers: [], body: new Uint8Array() },
    },
    {
      kind: 'fail-request',
      ...REQUEST,
      failure: { verdict: 'not-run', code: 'internal', message: 'x' },
    },
    { kind: 'finish-generation', ...REQUEST, usage: '' },
  ];
  for (const effect of effects) {
    const { adapters, closed, posted, recorded } = createFailingAdapters();
    t.notThrows(() => {
      performEffect(effect, adapters);
    });
    t.deepEqual(closed, ['r-1']);
    t.deepEqual(posted, [{ to: 'requests', kind: 'caller-disconnected', requestId: 'r-1' }]);
    t.deepEqual(recorded, ['effect-failed']);
  }
});

// Guards against a defect of the daemon itself that is hidden.
test('an exception of another effect ends the daemon', (t) => {
  const { adapters } = createFailingAdapters();
  t.throws(() => {
    performEffect({ kind: 'fetch-list' }, adapters);
  });
});
