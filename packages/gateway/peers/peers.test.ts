import test from 'ava';
import fc from 'fast-check';
import {
  MEMBER_RETENTION_MS,
  PEER_EXPIRY_MS,
  MAX_PEER_LOAD_AGE_MS,
  REPORT_INTERVAL_MS,
  MAX_MISSED_REPORTS,
} from './constants.js';
import {
  countDaemons,
  countPeerRequests,
  describeFleet,
  isPrecededByPeer,
  sumPeerLoad,
} from './fleet.js';
import { decodePeerMessage } from './peerCodec.js';
import { createPeersLogic } from './peers.js';
import type { GroupSummary, PeerReport } from './types.js';
import { createVirtualClock } from '../../core/clock.js';
import { createRandomSource } from '../../core/random.js';
import type { GatewayEffect } from '../effects.js';
import type { PeersEvent } from '../events.js';

const MESSAGE: PeerReport = {
  kind: 'report',
  format: 2,
  fleet: 1,
  process: 'gateway-2',
  dataCentre: 'dc-a',
  load: [['e-1', 2, 500, 100]],
  transfers: [],
  leaving: [],
  hosts: [],
  wants: 'nothing',
  crashes: [],
  survivals: [],
  limits: [],
};

const createHarness = () => {
  const clock = createVirtualClock(100_000);
  const scopes: string[] = [];
  const logic = createPeersLogic({
    clock,
    random: createRandomSource(2),
    self: { host: '10.0.0.5', process: 'gateway-5', dataCentre: 'dc-a' },
    hash: (text) => text.length,
    getSeeds: () => ['10.0.0.1', '10.0.0.5'],
    listOwnLoad: () => [['e-9', 1, 50, 0]],
    listLeaving: () => [],
    listOwnTransfers: () => [],
    listLimits: () => [],
    buildCrashMessage: (scope) => {
      scopes.push(scope);
      return { crashes: [], survivals: [] };
    },
  });
  let { state } = logic.init();
  const post = (event: PeersEvent): readonly GatewayEffect[] => {
    const step = logic.decide(state, event);
    ({ state } = step);
    return step.effects;
  };
  const receive = (host: string, change: Partial<PeerReport> = {}) =>
    post({ to: 'peers', kind: 'peer-report-received', host, message: { ...MESSAGE, ...change } });
  return { clock, scopes, post, receive, getState: () => state };
};

const findHosts = (effects: readonly GatewayEffect[]): readonly string[] =>
  effects.flatMap((effect) => (effect.kind === 'send-peers' ? effect.hosts : []));

// Guards against daemons that never discover each other, or that count themselves as a peer.
test('daemons discover each other through seeds and the hosts in reports', (t) => {
  const harness = createHarness();
  t.deepEqual(findHosts(harness.post({ to: 'peers', kind: 'report-due' })), ['10.0.0.1']);
  t.deepEqual(findHosts(harness.receive('10.0.0.2', { hosts: ['10.0.0.3', '10.0.0.5'] })), [
    '10.0.0.3',
  ]);
  t.is(countDaemons(harness.getState()), 2);
  harness.receive('10.0.0.5');
  t.is(countDaemons(harness.getState()), 2);
});

// Guards against the load and the budget share of a daemon that stopped.
test('a peer without recent reports no longer counts', (t) => {
  const harness = createHarness();
  harness.receive('10.0.0.2');
  const { clock } = harness;
  t.is(sumPeerLoad(harness.getState(), 'e-1', clock.now()).tokens, 500);
  clock.advance(MAX_PEER_LOAD_AGE_MS + 1);
  t.is(sumPeerLoad(harness.getState(), 'e-1', clock.now()).tokens, 0);
  clock.advance(PEER_EXPIRY_MS);
  harness.post({ to: 'peers', kind: 'report-due' });
  t.is(countDaemons(harness.getState()), 1);
});

const SELF = '10.0.0.5';
const SEEDS = ['10.0.0.1', SELF];

const describeHarness = ({ clock, getState }: ReturnType<typeof createHarness>, seeds = SEEDS) =>
  describeFleet(getState(), seeds, SELF, clock.now());

// Guards against a daemon that takes the parts of those which it does not hear, as in a partition: they
// still use them.
test('a silent peer keeps its part of the shared limits for minutes', (t) => {
  const harness = createHarness();
  harness.receive('10.0.0.1');
  harness.clock.advance(MEMBER_RETENTION_MS);
  harness.post({ to: 'peers', kind: 'report-due' });
  t.is(describeHarness(harness).daemons, 2);
  harness.clock.advance(PEER_EXPIRY_MS);
  harness.post({ to: 'peers', kind: 'report-due' });
  t.is(describeHarness(harness).daemons, 1);
});

// Guards against a restarted daemon that takes too large a part of the shared limits until it has
// heard all the others.
test('a daemon that has just started takes the size of the fleet from a report', (t) => {
  const harness = createHarness();
  t.is(describeHarness(harness).contact, 'unknown');
  harness.receive('10.0.0.2', { fleet: 6 });
  t.deepEqual(describeHarness(harness), { daemons: 6, contact: 'known' });
  harness.receive('10.0.0.3', { fleet: 4 });
  t.is(describeHarness(harness).daemons, 6);
});

// Guards against daemons that are started behind a partition, know only each other and use the parts of
// those behind it (issue 42).
test('a daemon leaves parts of the shared limits to daemons that it has not heard since its start', (t) => {
  const harness = createHarness();
  const seeds = ['10.0.0.1', '10.0.0.2', '10.0.0.3'];
  harness.receive('10.0.0.1');
  t.is(describeHarness(harness, seeds).daemons, 6);
  harness.receive('10.0.0.2');
  t.is(describeHarness(harness, seeds).daemons, 6);
  harness.receive('10.0.0.3');
  t.is(describeHarness(harness, seeds).daemons, 4);
});

// Guards against settings that name a daemon which does not run any more: its part is not left for good.
test('a daemon that was never heard does not count for longer than a silent one', (t) => {
  const harness = createHarness();
  harness.receive('10.0.0.2');
  t.is(describeHarness(harness).daemons, 4);
  harness.clock.advance(MEMBER_RETENTION_MS);
  harness.receive('10.0.0.2');
  harness.clock.advance(1);
  t.is(describeHarness(harness).daemons, 2);
});

// Guards against a single daemon that waits for others which its settings do not name.
test('a daemon without other seeds is a fleet of its own', (t) => {
  const fleet = describeHarness(createHarness(), [SELF]);
  t.deepEqual(fleet, { daemons: 1, contact: 'known' });
});

// Guards against two daemons that both transfer from an engine or both wait, and against
// generations of low priority that use up the time before the engine stops.
test('transfers are ordered by priority, and ties by the names of the daemons', (t) => {
  const harness = createHarness();
  const check = (source: string, priority: number): boolean =>
    isPrecededByPeer(
      harness.getState(),
      { source, priority, process: 'gateway-5' },
      harness.clock.now(),
    );
  harness.receive('10.0.0.2', { transfers: [['e-1', 700]] });
  harness.receive('10.0.0.9', { process: 'gateway-9', transfers: [['e-2', 700]] });
  t.true(check('e-1', 600));
  t.false(check('e-1', 800));
  t.true(check('e-1', 700));
  t.false(check('e-2', 700));
  t.true(check('e-2', 600));
});

// Guards against transfers that wait for a daemon that stopped, and so are not made before the
// engine stops.
test('a peer without recent reports does not delay the transfers of others', (t) => {
  const harness = createHarness();
  harness.receive('10.0.0.2', { transfers: [['e-1', 700]] });
  harness.clock.advance(MAX_MISSED_REPORTS * REPORT_INTERVAL_MS + 1);
  const transfer = { source: 'e-1', priority: 600, process: 'gateway-5' };
  t.false(isPrecededByPeer(harness.getState(), transfer, harness.clock.now()));
});

// Guards against daemons that ignore the crashes and leaving endpoints that a peer reports.
test('crashes and leaving endpoints in the report of a peer are applied', (t) => {
  const harness = createHarness();
  const effects = harness.receive('10.0.0.2', {
    crashes: [['f', 'e-1', 'beginning', 300, ['g']]],
    survivals: [['g', 200]],
    leaving: ['e-4'],
  });
  const now = harness.clock.now();
  t.deepEqual(effects[0], {
    kind: 'post',
    event: {
      to: 'quarantine',
      kind: 'crashes-reported',
      crashes: [
        {
          content: { whole: 'f', parts: ['g'] },
          endpoint: 'e-1',
          progress: 'beginning',
          at: now - 300,
        },
      ],
      survivals: [{ fingerprint: 'g', at: now - 200 }],
    },
  });
  t.true(
    effects.some(
      ({ kind, ...rest }) =>
        kind === 'post' &&
        'event' in rest &&
        rest.event.kind === 'report-read' &&
        rest.event.endpoint === 'e-4',
    ),
  );
});

// Guards against daemons that each learn of a request limit from their own answers only, and against
// a daemon that does not count what its peers send.
test('the limits in the report of a peer are applied, and its requests count', (t) => {
  const harness = createHarness();
  const effects = harness.receive('10.0.0.2', { limits: [['e-1', 2.5, 400, 7]] });
  const now = harness.clock.now();
  t.deepEqual(effects[0], {
    kind: 'post',
    event: {
      to: 'statements',
      kind: 'limit-reported',
      endpoint: 'e-1',
      requestsPerSecond: 2.5,
      observedAt: now - 400,
    },
  });
  harness.receive('10.0.0.3', { limits: [['e-1', 2.5, 100, 2]] });
  const count = () => countPeerRequests(harness.getState(), 'e-1', harness.clock.now());
  t.deepEqual(count(), { peerRequests: 9, silentDaemons: 0 });
  harness.clock.advance(MAX_PEER_LOAD_AGE_MS + 1);
  t.deepEqual(count(), { peerRequests: 0, silentDaemons: 2 });
});

// Guards against a daemon that started after a quarantine and never learns of it.
test('the reports that go to the seeds include the crashes of all quarantines', (t) => {
  const harness = createHarness();
  harness.post({ to: 'peers', kind: 'report-due' });
  harness.post({ to: 'peers', kind: 'report-due' });
  t.deepEqual(harness.scopes, ['quarantines', 'recent']);
});

// Guards against daemons that ignore each other while one of them has an earlier version.
test('a report without survivals and with crashes in the earlier form is read', (t) => {
  const early = {
    ...MESSAGE,
    dataCentre: undefined,
    wants: undefined,
    crashes: [['f', 'e-1']],
    limits: undefined,
    survivals: undefined,
  };
  const decoded = decodePeerMessage(Buffer.from(JSON.stringify(early)));
  t.deepEqual(decoded, {
    ...MESSAGE,
    dataCentre: '',
    crashes: [['f', 'e-1', 'waiting', 0, []]],
    survivals: [],
  });
});

// Guards against datagrams of another format version or from a sender that is not a gateway daemon.
test('a datagram of another format is rejected', (t) => {
  const encode = (value: unknown): Uint8Array => Buffer.from(JSON.stringify(value));
  t.deepEqual(decodePeerMessage(encode(MESSAGE)), MESSAGE);
  for (const bad of [
    { ...MESSAGE, format: 1 },
    { ...MESSAGE, load: [['e-1', 'x', 0, 0]] },
    { ...MESSAGE, leaving: undefined },
    { ...MESSAGE, crashes: [['f', 'e-1', 'soon', 0, []]] },
    { ...MESSAGE, survivals: [['f', 'x']] },
    { ...MESSAGE, limits: [['e-1', '2', 0, 0]] },
    [],
    'text',
  ]) {
    t.is(decodePeerMessage(encode(bad)), null);
  }
  t.is(decodePeerMessage(Buffer.from([0xff])), null);
});

const SUMMARY: GroupSummary = {
  kind: 'summary',
  format: 3,
  fleet: 1,
  group: 'dc-b/0/1',
  hop: 'direct',
  members: [['10.0.0.7', 'gateway-7', 'dc-b', 40]],
  load: [['e-1', 2, 500, 100]],
  transfers: [['e-1', 700, 'gateway-7']],
  leaving: ['e-4'],
  limits: [['e-1', 2.5, 400, 7]],
  crashes: [['f', 'e-1', 'beginning', 300, ['g']]],
  survivals: [['g', 200]],
};

// Guards against a datagram with values of a wrong type, or with rows that are too short or nested,
// that ends the process or is applied in part.
test('datagrams with any values are read or rejected without an error', (t) => {
  const property = fc.property(
    fc.constantFrom(MESSAGE, SUMMARY),
    fc.dictionary(fc.constantFrom(...Object.keys({ ...MESSAGE, ...SUMMARY })), fc.jsonValue()),
    (message, change) => {
      const harness = createHarness();
      const decoded = decodePeerMessage(Buffer.from(JSON.stringify({ ...message, ...change })));
      if (decoded === null) return;
      harness.post({
        to: 'peers',
        kind: 'peer-report-received',
        host: '10.0.0.8',
        message: decoded,
      });
      harness.post({ to: 'peers', kind: 'report-due' });
    },
  );
  t.notThrows(() => {
    fc.assert(property, { seed: 7, numRuns: 2_000 });
  });
  t.deepEqual(decodePeerMessage(Buffer.from(JSON.stringify(SUMMARY))), SUMMARY);
});

// Guards against a daemon of another group that counts as present for ever because of a wrong age.
test('a member with a negative age expires', (t) => {
  const harness = createHarness();
  const members = [['10.0.0.7', 'gateway-7', 'dc-b', -1e12]] as const;
  const message: GroupSummary = { ...SUMMARY, members };
  harness.post({ to: 'peers', kind: 'peer-report-received', host: '10.0.0.7', message });
  t.is(countDaemons(harness.getState()), 2);
  harness.clock.advance(PEER_EXPIRY_MS + 1);
  harness.post({ to: 'peers', kind: 'report-due' });
  t.is(countDaemons(harness.getState()), 1);
});

// Guards against an age that is negative, as after a step of a clock: it names an instant that is
// still to come, so that a limit or a quarantine had no end and hid all later ones.
test('a negative age in a message counts as zero', (t) => {
  const bytes = Buffer.from(
    JSON.stringify({
      ...MESSAGE,
      limits: [['e-1', 5, -1e9, 1]],
      survivals: [['f-1', -1e9]],
      crashes: [['f-2', 'e-1', 'waiting', -1e9, []]],
    }),
  );
  const message = decodePeerMessage(bytes);
  t.deepEqual(message?.limits, [['e-1', 5, 0, 1]]);
  t.deepEqual(message?.survivals, [['f-1', 0]]);
  t.deepEqual(message?.crashes, [['f-2', 'e-1', 'waiting', 0, []]]);
});

// Guards against numbers whose sum overflows: JSON has no infinite numbers, so that the others
// dropped each report with the sum and lost touch with its sender.
test('a message with numbers that are too large is dropped', (t) => {
  for (const change of [
    { load: [['e-1', 1, 1e308, 0]] },
    { load: [['e-1', 2 ** 53, 0, 0]] },
    { load: [['e-1', 0, 0, -1e308]] },
    { limits: [['e-1', 1e308, 0, 0]] },
    { transfers: [['e-1', 1e308]] },
    { survivals: [['f-1', 1e308]] },
  ]) {
    const bytes = Buffer.from(JSON.stringify({ ...MESSAGE, ...change }));
    t.is(decodePeerMessage(bytes), null, JSON.stringify(change));
  }
  t.deepEqual(decodePeerMessage(Buffer.from(JSON.stringify(MESSAGE))), MESSAGE);
});
