import { createHash } from 'node:crypto';
import { create, toBinary } from '@bufbuild/protobuf';
import { HEARTBEAT_EVIDENCE_ROWS, HEARTBEAT_PREFIXES } from '../constants.js';
import { measureDuration } from '../sampling/duration.js';
import { measureMemory } from '../sampling/memory.js';
import type { Experiment } from '../types.js';
import { createId } from '../../core/ids.js';
import { decideDelta } from '../../decisions/configuration/exchange.js';
import { createConfiguration } from '../../decisions/configuration/fold.js';
import { chooseByRendezvous } from '../../decisions/membership/rendezvous.js';
import { createMembershipLogic, listViews } from '../../entry/membership/membership.js';
import type { MembershipState } from '../../entry/membership/types.js';
import type { EvidenceCounters, ReceivedHeartbeat } from '../../entry/types.js';
import { DEFAULT_SUBSET_SIZE } from '../../settings/constants.js';
import { HeartbeatRequestSchema } from '../../wire/gen/chestnutspan/v1/chestnutspan_pb.js';

/** Fixed time for all decisions that take the current time as an input. */
const NOW = 1_800_000_000_000;

const buildEvidence = (rows: number): readonly EvidenceCounters[] =>
  Array.from({ length: rows }, (_, row) => ({
    route: `route-${Math.floor(row / 2).toString()}`,
    className: row % 2 === 0 ? 'long-memos' : 'lookups',
    successes: 100_000 + row,
    failures: 12,
    slow: 340,
    firstTokenMsSum: 4_812_334.5,
    tokenGapMsSum: 99_123_456.25,
    tokenGaps: 2_345_678,
  }));

const buildPrefixes = (): readonly string[] =>
  Array.from({ length: HEARTBEAT_PREFIXES }, () => createId().replaceAll('-', '').slice(16));

/**
 * Builds the heartbeat of one endpoint, with fields as long as at the target size.
 *
 * @param index - number of the endpoint
 * @param evidenceRows - number of rows of counters, one for each route and class
 * @returns the heartbeat as an entry daemon receives it
 */
export const buildHeartbeat = (
  index: number,
  evidenceRows: number = HEARTBEAT_EVIDENCE_ROWS,
): ReceivedHeartbeat => ({
  endpoint: `worker-${index.toString().padStart(5, '0')}`,
  instance: `instance-${index.toString().padStart(5, '0')}`,
  dataCentre: `region-${(index % 8).toString()}-dc-${(index % 17).toString()}`,
  incarnation: createId(),
  engineStart: createId(),
  sequence: 1_000_000,
  phase: 'serving',
  rpcUrl: 'http://10.120.130.140:45100',
  httpUrl: 'http://10.120.130.140:45200',
  model: 'draft',
  version: 'v2026-12-01',
  service: null,
  load: {
    limit: 96,
    running: 80,
    waiting: 0,
    memoryUsedTokens: 800_000,
    memoryTotalTokens: 1_000_000,
    tokensPerSecond: 833.3,
    preemptions: 4,
    prefixes: buildPrefixes(),
    ageMs: 120,
    prefixAgeMs: 850,
    prefixGaps: 3,
  },
  evidence: buildEvidence(evidenceRows),
  configurationOffset: 0,
});

const createLogic = () => {
  const configuration = createConfiguration();
  return createMembershipLogic({
    now: () => NOW,
    getDelta: (offset) => decideDelta(configuration, offset),
  });
};

const measureDecisions = (endpoints: number) => {
  const logic = createLogic();
  let sequence = 0;
  const receive = (state: MembershipState, heartbeat: ReceivedHeartbeat): MembershipState => {
    const event = { to: 'membership', kind: 'heartbeat-received', heartbeatId: 'h' } as const;
    return logic.decide(state, { ...event, heartbeat: { ...heartbeat, sequence } }).state;
  };
  const built = measureMemory(() => {
    const heartbeats = Array.from({ length: endpoints }, (_, index) => buildHeartbeat(index));
    return { heartbeats, state: heartbeats.reduce(receive, logic.init().state) };
  });
  const { heartbeats } = built.state;
  let { state } = built.state;
  return {
    'heartbeat.state': built.bytes,
    'heartbeat.round-time': measureDuration(() => {
      sequence += 1;
      state = heartbeats.reduce(receive, state);
    }),
    'heartbeat.tick-time': measureDuration(() => {
      state = logic.decide(state, { to: 'membership', kind: 'tick' }).state;
    }),
    'placement.views-time': measureDuration(() => {
      listViews(state, NOW);
    }),
  };
};

const measureMessage = (rows: number) => {
  const heartbeat = buildHeartbeat(1, rows);
  const message = create(HeartbeatRequestSchema, {
    ...heartbeat,
    format: 1,
    model: heartbeat.model ?? '',
    service: '',
    load: { ...heartbeat.load, prefixes: [...heartbeat.load.prefixes] },
    evidence: heartbeat.evidence.map((counters) => ({ ...counters })),
  });
  return { 'heartbeat.message': toBinary(HeartbeatRequestSchema, message).length };
};

const HASH_BYTES = 6;

/** Hashes a string as the endpoint daemon does when it chooses its heartbeat targets. */
const hashString = (value: string): number =>
  createHash('sha256').update(value).digest().readUIntBE(0, HASH_BYTES);

const measureTargets = (entries: number) => {
  const instances = Array.from({ length: entries }, () => createId());
  const chooseTargets = () => {
    chooseByRendezvous('worker-00001', instances, DEFAULT_SUBSET_SIZE, hashString);
  };
  return { 'heartbeat.targets-time': measureDuration(chooseTargets) };
};

/** Heartbeats in the decisions of the entry and the endpoint daemon, without the network. */
export const HEARTBEAT_EXPERIMENTS: readonly Experiment[] = [
  { name: 'heartbeats', sizes: [8, 64, 512, 2_048], measure: measureDecisions },
  { name: 'heartbeat message', sizes: [0, 8, 64, 256], measure: measureMessage },
  { name: 'heartbeat targets', sizes: [8, 100, 800], measure: measureTargets },
];
