import test from 'ava';
import { buildPeers, createRequests } from './candidates.fixture.js';
import { listCandidates, listLimits } from './candidates.js';
import { LIMIT_VALIDITY_MS, MIN_LIMIT_USERS } from '../../decisions/forwarding/constants.js';
import { NEW_ENDPOINT_HEALTH } from '../../decisions/forwarding/endpointHealth.js';
import { buildEndpoint } from '../../decisions/forwarding/forwarding.fixture.js';
import { createNewestMoves } from '../moves/moves.js';
import type { PeerReport } from '../peers/types.js';
import { findRegistered } from './holders.js';
import { addIndexed, createVersionIndex } from './versions.js';
import type { VersionIndex } from './versions.js';
import { recordIncarnation } from '../statements/incarnations.js';
import type { StatedIncarnations } from '../statements/incarnations.js';
import { NO_STATEMENTS } from '../../decisions/forwarding/statements.js';
import type { EndpointStatements } from '../../decisions/forwarding/statements.js';
import type { EndpointRecord } from '../../decisions/forwarding/types.js';

const REPORT: PeerReport = {
  kind: 'report',
  format: 2,
  fleet: 1,
  process: 'p-2',
  dataCentre: 'dc-a',
  load: [['e-1', 3, 900, 100]],
  transfers: [],
  leaving: [],
  hosts: [],
  wants: 'nothing',
  crashes: [],
  survivals: [],
  limits: [],
};

const buildIndex = (records: readonly EndpointRecord[]): VersionIndex => {
  const versions = createVersionIndex();
  for (const record of records) addIndexed(versions, record, undefined);
  return versions;
};

const build = (records: readonly EndpointRecord[], out: readonly string[] = []) => ({
  membership: {
    loaded: 'yes' as const,
    endpoints: new Map(
      records.map((record) => [
        record.id,
        {
          record,
          health: NEW_ENDPOINT_HEALTH,
          recordedAt: 1_000,
          leavingAt: null,
          removedAt: null,
        },
      ]),
    ),
    versions: buildIndex(records),
    removed: new Map(),
    departed: new Map(),
    gone: new Map(),
    dataCentresOut: new Map(out.map((name) => [name, 1_000])),
    dataCentresHeld: new Map(),
  },
  peers: buildPeers([REPORT]),
  requests: createRequests(),
  moves: createNewestMoves().current,
  statements: { incarnations: new Map() as StatedIncarnations, leaving: new Map() },
});

/** Records what the endpoint of a registration has stated. */
const recordStated = (
  { membership, statements }: ReturnType<typeof build>,
  id: string,
  stated: Partial<EndpointStatements>,
): void => {
  const endpoint = findRegistered(membership, id);
  if (endpoint === null) throw new Error('the endpoint is missing');
  recordIncarnation(statements.incarnations, {
    endpoint,
    stated: { ...NO_STATEMENTS, ...stated },
    malformed: [],
  });
};

const INPUTS = { process: 'p-1', hash: (text: string) => text.length };

const list = (sources: Parameters<typeof listCandidates>[1], now = 1_100) =>
  listCandidates('writer', sources, INPUTS, now);

// Guards against new work in a data centre that operators took out of service.
test('endpoints in a data centre that is out of service are not candidates', (t) => {
  const records = [buildEndpoint('e-1'), buildEndpoint('e-2', { dataCentre: 'dc-b' })];
  const ids = list(build(records, ['dc-a'])).map(({ record }) => record.id);
  t.deepEqual(ids, ['e-2']);
});

// Guards against a full share of the traffic for a version whose failures are not evaluated.
test('endpoints of the target version of a move are not candidates', (t) => {
  const sources = build([buildEndpoint('e-1'), buildEndpoint('e-2', { version: 'v2' })]);
  const order = { service: 'writer', targetVersion: 'v2', durationMs: 1_000, offset: 1 };
  const moves = { ...sources.moves, orders: new Map([['writer', order]]) };
  t.deepEqual(
    list({ ...sources, moves }).map(({ record }) => record.id),
    ['e-1'],
  );
});

// Guards against daemons that all choose the same endpoint, and against the load of a peer that
// stopped.
test('the load of a peer counts until it expires', (t) => {
  const sources = build([buildEndpoint('e-1')]);
  t.deepEqual(list(sources)[0]?.load, {
    requests: 3,
    tokens: 900,
    waitingTokens: 100,
    growthTokens: 0,
  });
  t.deepEqual(list(sources, 9_000)[0]?.load, {
    requests: 0,
    tokens: 0,
    waitingTokens: 0,
    growthTokens: 0,
  });
});

// Guards against a cold endpoint that receives the load of a warm one.
test('an endpoint counts as cold for the time in its registration', (t) => {
  const sources = build([buildEndpoint('e-1', { coldForMs: 500 })]);
  t.is(list(sources)[0]?.coldHeadroom, 0);
  t.is(list(sources, 1_600)[0]?.coldHeadroom, null);
});

// Guards against a limit that is lost between membership, placement and the other daemons, and
// against one that stays although nothing confirms it.
test('the stated limit of an endpoint is part of its candidate and of the report', (t) => {
  const sources = build([buildEndpoint('e-1')]);
  recordStated(sources, 'e-1', { limit: { requestsPerSecond: 2, observedAt: 1_000 } });
  sources.requests.sentTimes.set('e-1', [1_050, 1_060]);
  t.deepEqual(list(sources)[0]?.limit, {
    requestsPerSecond: 2,
    peerRequests: 0,
    silentDaemons: 0,
    role: 'user',
  });
  const report = (now: number) => listLimits(sources, now);
  t.deepEqual(report(1_100), [['e-1', 2, 100, 2]]);
  const expired = 1_001 + LIMIT_VALIDITY_MS;
  t.is(list(sources, expired)[0]?.limit, null);
  t.deepEqual(report(expired), []);
});

// Guards against requests to an endpoint that said in an answer that it leaves, because its registration
// still reads ready, and against a new incarnation that is taken for the one before (DRAIN, issue 42).
test('an endpoint that said that it leaves is a leaving candidate', (t) => {
  const sources = build([buildEndpoint('e-1'), buildEndpoint('e-2')]);
  recordStated(sources, 'e-1', { leavingAt: 1_000 });
  const listPhases = () => list(sources, 90_000).map(({ record }) => record.phase);
  t.deepEqual(listPhases(), ['leaving', 'ready']);
  const known = sources.membership.endpoints.get('e-1');
  if (known === undefined) throw new Error('the endpoint is missing');
  const restarted = buildEndpoint('e-1', { startedAt: 2 });
  sources.membership.endpoints.set('e-1', { ...known, record: restarted });
  t.deepEqual(listPhases(), ['ready', 'ready']);
});

// Guards against a burst at more daemons than a limited endpoint accepts requests, and against
// endpoints that no daemon or each daemon uses.
test('some of the daemons of a large fleet use an endpoint with a low limit', (t) => {
  const sources = build([buildEndpoint('e-1')]);
  recordStated(sources, 'e-1', { limit: { requestsPerSecond: 1, observedAt: 1_000 } });
  const names = Array.from({ length: 28 }, (_, number) => `p-${number.toString()}`);
  const hash = (text: string): number => Number(text.split('-').at(-1)) % 13;
  const roles = names.map((process) => {
    const others = names.filter((name) => name !== process);
    const peers = buildPeers(others.map((other) => ({ ...REPORT, process: other })));
    const candidates = listCandidates('writer', { ...sources, peers }, { process, hash }, 1_100);
    return candidates[0]?.limit?.role;
  });
  t.is(roles.filter((role) => role === 'user').length, MIN_LIMIT_USERS);
});
