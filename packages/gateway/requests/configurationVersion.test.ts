import test from 'ava';
import { createRequestsHarness, findAttemptOrders, SIGNED_HEAD } from './requests.fixture.js';
import type { EventName } from '../../core/events/catalogue.js';
import type { GatewayEffect } from '../effects.js';

const findLoggedVersion = (effects: readonly GatewayEffect[], name: EventName): unknown =>
  effects.flatMap((effect) =>
    effect.kind === 'log' && effect.name === name ? [effect.details.data?.['version']] : [],
  )[0];

const FIRST_VERSION = 7;

// Guards against lines from which nobody can tell whether a request was handled by a configuration
// older than the one in force.
test('the lines of a request name the configuration under which it was accepted', (t) => {
  const harness = createRequestsHarness();
  harness.setVersion(FIRST_VERSION);
  const placed = harness.sendRequest('/sweep/1');
  const [order] = findAttemptOrders(placed);
  const { attempt = 0, key = 0 } = order ?? {};
  t.is(findLoggedVersion(placed, 'request-placed'), FIRST_VERSION);
  harness.setVersion(FIRST_VERSION + 1);
  const event = { to: 'requests', key, attempt } as const;
  harness.post({ ...event, kind: 'answer-started', head: SIGNED_HEAD });
  const ended = harness.post({ ...event, kind: 'answer-ended' });
  t.is(findLoggedVersion(ended, 'request-finished'), FIRST_VERSION);

  harness.sendRequest('/sweep/2');
  harness.setVersion(FIRST_VERSION + 2);
  const cancelled = harness.post({ to: 'requests', kind: 'caller-disconnected', key: key + 1 });
  t.is(findLoggedVersion(cancelled, 'request-cancelled'), FIRST_VERSION + 1);

  const [failing] = findAttemptOrders(harness.sendRequest('/sweep/3'));
  harness.setVersion(FIRST_VERSION + 3);
  const failed = harness.post({
    to: 'requests',
    key: failing?.key ?? 0,
    attempt: failing?.attempt ?? 0,
    kind: 'attempt-failed',
    failure: { kind: 'garbled', message: 'no answer' },
  });
  t.is(findLoggedVersion(failed, 'request-failed'), FIRST_VERSION + 2);
});

// Guards against a refusal without the configuration that led to it.
test('the line of a refusal names the configuration in force, or 0 without one', (t) => {
  const harness = createRequestsHarness();
  harness.setVersion(FIRST_VERSION);
  t.is(findLoggedVersion(harness.sendRequest('/none/1'), 'request-failed'), FIRST_VERSION);
  harness.setConfigured('no');
  t.is(findLoggedVersion(harness.sendRequest('/none/1'), 'request-failed'), 0);
});
