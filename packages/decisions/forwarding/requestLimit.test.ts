import test from 'ava';
import { MAX_LIMIT_WINDOW_MS, MIN_LIMIT_WINDOW_MS } from './constants.js';
import { computeLimitHeadroom, computeLimitWindow } from './requestLimit.js';

const LIMIT = { requestsPerSecond: 2.5, peerRequests: 0, silentDaemons: 0 };

// Guards against daemons that each keep to a limit and exceed it together.
test('the requests of all daemons count against the limit', (t) => {
  t.is(computeLimitHeadroom(LIMIT, 0, 6), 10);
  t.is(computeLimitHeadroom({ ...LIMIT, peerRequests: 7 }, 3, 6), 0);
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
