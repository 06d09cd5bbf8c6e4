import test from 'ava';
import { CONFIGURATION, MEMO_ROUTE, SWEEP_ROUTE } from './forwarding.fixture.js';
import { buildRoutingTable, chooseService, findRoute } from './routing.js';
import { createRandomSource } from '../../core/random.js';

const table = buildRoutingTable({
  ...CONFIGURATION,
  routes: [
    ...CONFIGURATION.routes,
    { ...SWEEP_ROUTE, name: 'root', pathPrefix: '/', access: 'public' },
  ],
});

// Guards against a request that is routed by a shorter prefix than the longest match.
test('the route with the longest matching prefix of the host is chosen', (t) => {
  const found = findRoute(table, { host: 'Host.example:80', path: '/memo/a', credential: 'key-1' });
  t.is(found.kind === 'routed' ? found.route.name : found.kind, 'memo');
  const other = findRoute(table, { host: 'host.example', path: '/memos', credential: null });
  t.is(other.kind === 'routed' ? other.route.name : other.kind, 'root');
});

// Guards against serving a request that no customer accounts for, or one for an unknown host.
test('unknown keys and hosts are refused', (t) => {
  const path = '/memo/a';
  t.is(findRoute(table, { host: 'host.example', path, credential: 'other' }).kind, 'unknown-key');
  t.is(findRoute(table, { host: 'host.example', path, credential: null }).kind, 'unknown-key');
  t.is(findRoute(table, { host: 'other', path, credential: 'key-1' }).kind, 'no-route');
});

// Guards against traffic to a service whose weight is zero, and shares that ignore the weights.
test('services are chosen by weight', (t) => {
  const random = createRandomSource(1);
  const route = {
    ...MEMO_ROUTE,
    targets: [
      { service: 'none', weight: 0 },
      { service: 'most', weight: 90 },
      { service: 'some', weight: 10 },
    ],
  };
  const chosen = Array.from({ length: 2_000 }, () => chooseService(route, random));
  const some = chosen.filter((name) => name === 'some').length;
  t.false(chosen.includes('none'));
  t.true(some > 120 && some < 280, some.toString());
});
