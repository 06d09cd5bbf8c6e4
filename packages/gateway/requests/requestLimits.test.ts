import test from 'ava';
import { createRequestsHarness, findAttemptOrders, findEffect } from './requests.fixture.js';
import type { RequestsHarness } from './requests.fixture.js';
import { applyRequestLimits } from './requestLimits.js';
import {
  buildCandidate,
  buildEndpoint,
  PLAIN_SERVICE,
} from '../../decisions/forwarding/forwarding.fixture.js';
import { chooseByRendezvous } from '../../decisions/membership/rendezvous.js';
import { MIN_LIMIT_WINDOW_MS } from '../../decisions/forwarding/constants.js';
import type { GatewayEffect } from '../effects.js';

const ENDPOINTS = ['l-4', 'l-5', 'l-6'];

/** Lets all endpoints of the plain service state a limit of one request per second. */
const limitLedgers = (harness: RequestsHarness, peerRequests: number): void => {
  for (const id of ENDPOINTS) {
    harness.limits.set(id, { requestsPerSecond: 1, peerRequests, silentDaemons: 0, role: 'user' });
  }
};

const sendSweeps = (harness: RequestsHarness, count: number): readonly GatewayEffect[] =>
  Array.from({ length: count }, () => [
    ...harness.sendRequest('/sweep/1'),
    ...harness.wait(10),
  ]).flat();

// Guards against a worker that gets more requests than the limit that it states (LIMIT).
test('endpoints get no more requests of all daemons than the limit that they state', (t) => {
  const harness = createRequestsHarness();
  limitLedgers(harness, 1);
  const orders = findAttemptOrders(sendSweeps(harness, 30));
  for (const id of ENDPOINTS) {
    t.is(orders.filter(({ head }) => head.endpointId === id).length, 3);
  }
  harness.wait(MIN_LIMIT_WINDOW_MS);
  t.is(findAttemptOrders(sendSweeps(harness, 30)).length, 9);
});

// Guards against callers that wait until their deadline for an endpoint that accepts no request.
test('requests beyond the limits are refused as not run, soon and with a retry-after', (t) => {
  const harness = createRequestsHarness();
  limitLedgers(harness, 4);
  const effects = [...harness.sendRequest('/sweep/1'), ...harness.wait(60)];
  t.deepEqual(findAttemptOrders(effects), []);
  const failure = findEffect(effects, 'refuse')?.failure;
  t.is(failure?.verdict, 'not-run');
  t.true((failure?.retryAfterMs ?? 0) > 0);
});

const COLD_OVERSHOOT = 1.5;
const COLD_SLACK = 5;

const LIVE_SETTINGS = {
  seeds: [],
  budget: { ratio: 0.2, slack: 50, windowMs: 10_000 },
  graceMs: 8_000,
  coldOvershoot: COLD_OVERSHOOT,
  learnWithin: { leavingMs: 2_000, dataCentreOutMs: 5_000, outageMs: 3_000 },
};

/** Sums the requests that the daemons of a fleet may send to a cold endpoint in a second. */
const sumColdHeadroom = (daemons: number, coldPerSecond: number): number => {
  const hosts = Array.from({ length: daemons }, (_, index) => `10.0.0.${index.toString()}`);
  const hash = (text: string): number => (Number(text.split('.').at(-1)) * 37) % 101;
  const candidate = buildCandidate(buildEndpoint('e-1'), { coldHeadroom: 0 });
  const state = { inFlight: new Map(), runStops: new Map(), answerBytes: 0, startedAt: 0 };
  return hosts
    .map((host) => {
      const inputs = {
        countDaemons: () => daemons,
        getFleet: () => ({ daemons, contact: 'known' }) as const,
        getLiveSettings: () => LIVE_SETTINGS,
        isUserOf: (endpoint: string, users: number) =>
          chooseByRendezvous(endpoint, hosts, users, hash).includes(host),
      };
      const service = { ...PLAIN_SERVICE, coldPerSecond };
      const requests = {
        ...state,
        budgets: new Map(),
        sentTimes: new Map(),
        waiting: new Map(),
        scheduledRooms: new Set<string>(),
        recentUse: new Map(),
        urgentNeeds: new Map(),
      };
      const [limited] = applyRequestLimits(requests, [candidate], service, inputs, 1_000);
      return limited?.coldHeadroom ?? 0;
    })
    .reduce((sum, headroom) => sum + headroom, 0);
};

// Guards against a large fleet in which each daemon sends one request a second to a cold endpoint, and
// against a cold endpoint that no daemon uses (FAILBACK).
test('the daemons of a fleet of any size keep the limit of a cold endpoint together', (t) => {
  for (const daemons of [1, 2, 4, 6, 12, 28, 68]) {
    for (const coldPerSecond of [0.5, 1, 2, 5, 20]) {
      const sum = sumColdHeadroom(daemons, coldPerSecond);
      const bound = coldPerSecond * COLD_OVERSHOOT + COLD_SLACK;
      t.true(sum >= 1 && sum <= bound, `${daemons.toString()}: ${sum.toString()}`);
    }
  }
});
