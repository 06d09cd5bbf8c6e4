import test from 'ava';
import { checkKey, resolveIssueTime } from './keys.js';
import type { ChainState, KeyedRequest } from './types.js';

const SETTINGS = { keyWindowMs: 1_000, maxUntimedKeys: 2, maxTimedKeys: 3 };
const NOW = 1_700_000_000_000;
const REQUEST: KeyedRequest = { customer: 'c', key: 'k', fingerprint: 'f', issuedAt: NOW };
const CHAIN: ChainState = { ...REQUEST, link: null, abandonedEarly: [] };

const check = (request: KeyedRequest, chain?: ChainState, untimed = 0, timed = 0) => {
  const result = checkKey(request, chain, { timed, untimed }, NOW, SETTINGS);
  return result.isOk() ? result.value : `${result.error.verdict} ${result.error.code}`;
};

// Guards against a header that makes an old UUIDv7 key appear new.
test('the time in a UUIDv7 key takes precedence over the header', (t) => {
  t.is(resolveIssueTime('018bcfe5-6800-7000-8000-000000000001', 5), NOW);
  t.is(resolveIssueTime('order-17', 5), 5);
  t.is(resolveIssueTime('order-17', null), null);
});

// Guards against a key that is accepted after its chain may have been dropped.
test('a key outside the key window is refused as not-run', (t) => {
  t.is(check(REQUEST), 'accepted');
  t.is(check({ ...REQUEST, issuedAt: NOW - 1_000 }), 'accepted');
  t.is(check({ ...REQUEST, issuedAt: NOW - 1_001 }), 'not-run key-expired');
  t.is(check({ ...REQUEST, issuedAt: NOW + 300_001 }), 'not-run key-expired');
});

// Guards against one key for two different requests, and against a caller that extends the validity
// of a key by a new time of issue.
test('different content or another time of issue under a key is a conflict', (t) => {
  t.is(check({ ...REQUEST, fingerprint: 'g' }, CHAIN), 'not-run key-conflict');
  t.is(check({ ...REQUEST, issuedAt: NOW - 1 }, CHAIN), 'may-have-run key-conflict');
});

// Guards against keys without expiry that exhaust the memory.
test('new untimed keys are refused at their limit, known ones are not', (t) => {
  const untimed = { ...REQUEST, issuedAt: null };
  t.is(check(untimed, undefined, 1), 'accepted');
  t.is(check(untimed, undefined, 2), 'not-run overloaded');
  t.is(check(untimed, { ...CHAIN, issuedAt: null }, 2), 'accepted');
});

// Guards against a burst of keys that exhausts the memory before the key window ends.
test('new timed keys are refused at their limit, known and untimed ones are not', (t) => {
  t.is(check(REQUEST, undefined, 0, 2), 'accepted');
  t.is(check(REQUEST, undefined, 0, 3), 'not-run overloaded');
  t.is(check(REQUEST, CHAIN, 0, 3), 'accepted');
  t.is(check({ ...REQUEST, issuedAt: null }, undefined, 0, 3), 'accepted');
});
