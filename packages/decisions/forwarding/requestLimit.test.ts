import test from 'ava';
import { MAX_LIMIT_WINDOW_MS, MIN_LIMIT_WINDOW_MS } from './constants.js';
import { computeLimitHeadroom, computeLimitWindow, countLimitUsers } from './requestLimit.js';

const LIMIT = { requestsPerSecond: 2.5, peerRequests: 0, silentDaemons: 0, role: 'user' } as const;

// Guards against daemons that each keep to a limit and exceed it together.
test('the requests of all daemons count against the limit', (t) => {
  t.is(computeLimitHeadroom(LIMIT, 0, 1), 10);
  t.is(computeLimitHeadroom({ ...LIMIT, peerRequests: 9 }, 0, 6), 1);
  t.is(computeLimitHeadroom({ ...LIMIT, peerRequests: 9 }, 1, 6), 0);
});

// Guards against a daemon that is partitioned from the others and uses the whole limit.
test('daemons without recent reports are assumed to use their share', (t) => {
  t.is(computeLimitHeadroom({ ...LIMIT, silentDaemons: 5 }, 0, 6), 1);
  t.is(computeLimitHeadroom({ ...LIMIT, silentDaemons: 5 }, 1, 6), 0);
});

// Guards against an endpoint with a low limit that gets no request at all, and never states that
// its limit has ended, and against requests to one that accepts none.
test('the window leaves room for one request of a low limit, and for none of a limit of 0', (t) => {
  t.is(computeLimitWindow(2.5), MIN_LIMIT_WINDOW_MS);
  t.is(computeLimitWindow(0.125), 8_000);
  t.is(computeLimitHeadroom({ ...LIMIT, requestsPerSecond: 0.125 }, 0, 6), 1);
  t.is(computeLimitHeadroom({ ...LIMIT, requestsPerSecond: 0.125 }, 1, 6), 0);
  t.is(computeLimitWindow(0), MAX_LIMIT_WINDOW_MS);
  t.is(computeLimitHeadroom({ ...LIMIT, requestsPerSecond: 0 }, 0, 6), 0);
});

// Guards against a burst that reaches many daemons before they know of each other's requests.
test('all daemons together stay within the bound of a race, whatever they know of each other', (t) => {
  for (const daemons of [1, 2, 4, 6, 8, 12, 28, 60]) {
    for (const requestsPerSecond of [0.25, 1, 1.8, 4.1, 5, 12, 40]) {
      const limit = { ...LIMIT, requestsPerSecond };
      const users = countLimitUsers(requestsPerSecond, daemons);
      const each = computeLimitHeadroom(limit, 0, daemons);
      const bound = Math.max(users, 1.5 * requestsPerSecond * 4 + 5);
      t.true(each >= 1 && users * each <= bound, `${daemons.toString()} ${users.toString()}`);
      t.true(users <= Math.max(8, 1.5 * requestsPerSecond * 4 + 5));
    }
  }
  t.is(computeLimitHeadroom({ ...LIMIT, role: 'other' }, 0, 28), 0);
});
