import { applySnapshot, decideDelta, planSnapshot, toSnapshot } from './exchange.js';
import { createConfiguration, foldControlRecord, openGap } from './fold.js';
import { parseControlRecord } from './records.js';
import { describeEntities, foldReference } from './referenceFold.fixture.js';
import type { ReferenceRow } from './referenceFold.fixture.js';
import type { SimulationAction } from './simulationActions.fixture.js';
import type {
  ConfigurationDelta,
  ConfigurationSnapshot,
  ConfigurationState,
  EntityKind,
  RawRecord,
} from './types.js';
import { assertNever } from '../../core/assertNever.js';

/** Decisions under test; each variant disables one mechanism. */
export interface Mechanisms {
  readonly fold: typeof foldControlRecord;
  readonly applySnapshot: typeof applySnapshot;
}

export const ALL_MECHANISMS: Mechanisms = { fold: foldControlRecord, applySnapshot };

interface Daemon {
  readonly role: 'entry' | 'endpoint';
  state: ConfigurationState;
}

type Message =
  | { readonly kind: 'page'; readonly firstOffset: number; readonly records: readonly RawRecord[] }
  | { readonly kind: 'delta'; readonly delta: ConfigurationDelta }
  | { readonly kind: 'snapshot'; readonly snapshot: ConfigurationSnapshot };

interface Simulation {
  readonly mechanisms: Mechanisms;
  readonly daemons: readonly Daemon[];
  /** All records ever appended, including those that the log has dropped. */
  readonly history: RawRecord[];
  /** Records whose append has not reached the log. */
  readonly pending: object[];
  readonly messages: { readonly to: Daemon; readonly message: Message }[];
  /** Effect of the record at each offset at the first daemon that folded it in an exact state. */
  readonly results: Map<number, string>;
  firstOffset: number;
  log: 'up' | 'out';
  now: number;
}

const ENTRY_COUNT = 3;
const ENDPOINT_COUNT = 3;
const FAR_FUTURE = 1e9;

const pickItem = <Item>(items: readonly Item[], pick: number): Item | undefined =>
  items[pick % Math.max(1, items.length)];

const listRole = (simulation: Simulation, role: Daemon['role']): readonly Daemon[] =>
  simulation.daemons.filter((daemon) => daemon.role === role);

const TARGET_CLASS = {
  className: 'memo',
  importance: 'standard',
  firstTokenMs: 700,
  tokenGapMs: 50,
  stallMs: 500,
  deadlineMs: 60_000,
};

const buildBody = (
  kind: EntityKind,
  entity: string,
  pick: number,
  now: number,
  endedAt: number,
): object => {
  switch (kind) {
    case 'targets':
      return { classes: [{ ...TARGET_CLASS, firstTokenMs: 1 + pick }] };
    case 'data-centre':
      return { state: pick % 2 === 0 ? 'in' : 'out' };
    case 'move':
      return {
        name: entity,
        model: 'draft',
        from: 'v1',
        to: 'v2',
        startedAt: 0,
        deadline: 1 + pick,
      };
    case 'move-ended':
      return { outcome: pick % 2 === 0 ? 'done' : 'taken-back', reason: 'test' };
    case 'move-notified':
      return { endedAt };
    case 'quarantine':
      return { expiresAt: pick % 2 === 0 ? now + 10 + (pick % 20) : FAR_FUTURE + pick };
    default:
      return assertNever(kind);
  }
};

/** Proposes a change based on the state of one entry daemon, which may be out of date. */
const addProposal = (
  simulation: Simulation,
  kind: EntityKind,
  entity: string,
  pick: number,
): void => {
  const seen = pickItem(listRole(simulation, 'entry'), pick)?.state;
  if (seen === undefined || seen.standing !== 'exact') return;
  const known = seen.entities.get(`${kind}\u0000${entity}`);
  const endedAt = seen.entities.get(`move-ended\u0000${entity}`)?.offset ?? 0;
  simulation.pending.push({
    kind,
    format: 1,
    author: `author-${(pick % 5).toString()}`,
    nonce: `nonce-${simulation.now.toString()}`,
    entity,
    basedOn: known?.offset ?? null,
    body: buildBody(kind, entity, pick, simulation.now, endedAt),
  });
};

const checkDaemon = (simulation: Simulation, daemon: Daemon, before: ConfigurationState): void => {
  const { state } = daemon;
  if (state.nextOffset < before.nextOffset) throw new Error('the offset decreased');
  if (state.standing !== 'exact') return;
  const expected = foldReference(simulation.history.slice(0, state.nextOffset)).entities;
  const wanted = describeEntities(expected, simulation.now);
  if (describeEntities(state.entities, simulation.now) !== wanted) {
    throw new Error(`the entities at offset ${state.nextOffset.toString()} differ`);
  }
};

const describeRow = (row: ReferenceRow): string =>
  row.kind === 'void' ? `void ${JSON.stringify(row.winner)}` : row.kind;

const foldRawRecord = (simulation: Simulation, daemon: Daemon, raw: RawRecord): void => {
  const parsed = parseControlRecord(raw.body).unwrapOr(null);
  const before = daemon.state;
  const { state, result } = simulation.mechanisms.fold(before, raw, parsed);
  daemon.state = state;
  checkDaemon(simulation, daemon, before);
  if (before.standing !== 'exact' || state === before) return;
  if (result.kind !== 'in-force' && result.kind !== 'void') return;
  const seen = describeRow(
    result.kind === 'void' ? { kind: 'void', winner: result.winner } : { kind: 'in-force' },
  );
  const earlier = simulation.results.get(raw.offset) ?? seen;
  // Snapshots leave out expired quarantines, so only quarantines may have different results.
  if (earlier !== seen && parsed?.kind !== 'quarantine')
    throw new Error('two daemons fold a record with different results');
  simulation.results.set(raw.offset, seen);
};

const applyReceivedSnapshot = (
  simulation: Simulation,
  daemon: Daemon,
  snapshot: ConfigurationSnapshot,
): void => {
  const before = daemon.state;
  daemon.state = simulation.mechanisms.applySnapshot(before, snapshot);
  checkDaemon(simulation, daemon, before);
};

const receive = (simulation: Simulation, daemon: Daemon, message: Message): void => {
  switch (message.kind) {
    case 'page':
      daemon.state = openGap(daemon.state, message.firstOffset);
      for (const raw of message.records) foldRawRecord(simulation, daemon, raw);
      return;
    case 'delta':
      if (message.delta.snapshot !== null)
        applyReceivedSnapshot(simulation, daemon, message.delta.snapshot);
      for (const raw of message.delta.records) foldRawRecord(simulation, daemon, raw);
      return;
    case 'snapshot':
      applyReceivedSnapshot(simulation, daemon, message.snapshot);
      return;
    default:
      assertNever(message);
  }
};

const readLog = (simulation: Simulation, daemon: Daemon, limit: number): Message => {
  const from = Math.max(daemon.state.nextOffset, simulation.firstOffset);
  const records = simulation.history.slice(from, from + limit);
  return { kind: 'page', firstOffset: simulation.firstOffset, records };
};

const appendRecord = (simulation: Simulation, body: object): void => {
  simulation.history.push({ offset: simulation.history.length, at: simulation.now, body });
};

/** Drops only records that a snapshot covers; `findUncovered` checks that there is a snapshot. */
const expireRecords = (simulation: Simulation, pick: number): void => {
  const kept = simulation.history
    .slice(simulation.firstOffset)
    .map(({ body }) => body as { asOf?: number });
  const covered = Math.max(simulation.firstOffset, ...kept.map(({ asOf }) => asOf ?? 0));
  simulation.firstOffset += pick % (covered - simulation.firstOffset + 1);
};

const planSnapshotAt = (simulation: Simulation, daemon: Daemon): void => {
  const { firstOffset, now } = simulation;
  const info = { firstOffset, snapshotAt: null, snapshotAgeMs: 1, maxAgeMs: 0, now };
  const record = planSnapshot(daemon.state, info, 'entry', `nonce-${now.toString()}`);
  if (record !== null) simulation.pending.push(record);
};

const PROPOSED = [
  ['targets', 'all'],
  ['data-centre', 'east'],
  ['move', 'to-v2'],
] as const;

const receiveNext = (simulation: Simulation, pick: number): void => {
  const index = pick % Math.max(1, simulation.messages.length);
  const sent = simulation.messages[index];
  if (sent === undefined) return;
  // Every third message is delivered again later.
  if (pick % 3 !== 0) simulation.messages.splice(index, 1);
  receive(simulation, sent.to, sent.message);
};

const performAction = (simulation: Simulation, { kind, pick }: SimulationAction): void => {
  const entry = pickItem(listRole(simulation, 'entry'), pick) as Daemon;
  const other = pickItem(simulation.daemons, Math.floor(pick / 7)) as Daemon;
  switch (kind) {
    case 'propose': {
      const [proposed, entity] = pickItem(PROPOSED, Math.floor(pick / 5)) ?? PROPOSED[0];
      return addProposal(simulation, proposed, entity, pick);
    }
    case 'quarantine':
      return addProposal(simulation, 'quarantine', 'fingerprint', pick);
    case 'end-move':
      return addProposal(simulation, 'move-ended', 'to-v2', pick);
    case 'notify-move':
      return addProposal(simulation, 'move-notified', 'to-v2', pick);
    case 'later-format':
      simulation.pending.push({ kind: 'targets', format: 2, shape: 'unknown' });
      return;
    case 'plan-snapshot':
      return planSnapshotAt(simulation, entry);
    case 'append': {
      const [body] =
        simulation.log === 'up'
          ? simulation.pending.splice(pick % Math.max(1, simulation.pending.length), 1)
          : [];
      if (body !== undefined) appendRecord(simulation, body);
      return;
    }
    case 'read':
      if (simulation.log === 'up') {
        simulation.messages.push({
          to: entry,
          message: readLog(simulation, entry, 1 + (pick % 9)),
        });
      }
      return;
    case 'outage':
      simulation.log = simulation.log === 'up' ? 'out' : 'up';
      return;
    case 'expire-records':
      return expireRecords(simulation, pick);
    case 'restart':
      other.state = createConfiguration();
      return;
    case 'heartbeat': {
      const to = pickItem(listRole(simulation, 'endpoint'), Math.floor(pick / 7)) as Daemon;
      const delta = decideDelta(entry.state, to.state.nextOffset);
      simulation.messages.push({ to, message: { kind: 'delta', delta } });
      return;
    }
    case 'send-snapshot':
      if (entry.state.standing === 'exact' && other.role === 'entry') {
        const message = { kind: 'snapshot', snapshot: toSnapshot(entry.state) } as const;
        simulation.messages.push({ to: other, message });
      }
      return;
    case 'deliver':
      return receiveNext(simulation, pick);
    default:
      assertNever(kind);
  }
};

const readToEnd = (simulation: Simulation): void => {
  for (const entry of listRole(simulation, 'entry')) {
    receive(simulation, entry, readLog(simulation, entry, Infinity));
  }
  const entry = pickItem(listRole(simulation, 'entry'), simulation.now) as Daemon;
  for (const endpoint of listRole(simulation, 'endpoint')) {
    // A delta is limited in bytes, so several may be needed.
    for (let round = 0; round < simulation.history.length + 1; round += 1) {
      receive(simulation, endpoint, {
        kind: 'delta',
        delta: decideDelta(entry.state, endpoint.state.nextOffset),
      });
    }
  }
};

/** Compares the results of the daemons with the reference fold of the whole history. */
const checkResults = (simulation: Simulation): void => {
  const { rows } = foldReference(simulation.history);
  for (const [offset, seen] of simulation.results) {
    const row = rows[offset] as ReferenceRow;
    const { kind } = simulation.history[offset]?.body as { readonly kind?: string };
    if (kind !== 'quarantine' && seen !== describeRow(row)) {
      throw new Error(
        `the result at offset ${offset.toString()} is not that of the reference fold`,
      );
    }
  }
};

/** Checks that of an entity's records based on the same offset exactly one came into force. */
const checkConflicts = (simulation: Simulation): void => {
  const { rows } = foldReference(simulation.history);
  const conflicts = new Map<string, number>();
  for (const { offset, body } of simulation.history) {
    const { kind, entity, basedOn } = body as Record<string, unknown>;
    if (kind !== 'targets' && kind !== 'data-centre') continue;
    if (entity === undefined) continue;
    const conflict = JSON.stringify([kind, entity, basedOn]);
    const seen = simulation.results.get(offset) ?? describeRow(rows[offset] as ReferenceRow);
    conflicts.set(conflict, (conflicts.get(conflict) ?? 0) + (seen === 'in-force' ? 1 : 0));
  }
  for (const [conflict, winners] of conflicts) {
    if (winners !== 1)
      throw new Error(`${winners.toString()} records in force in the conflict ${conflict}`);
  }
};

const checkFinalState = (simulation: Simulation): void => {
  for (const daemon of simulation.daemons) {
    if (
      daemon.state.standing !== 'exact' ||
      daemon.state.nextOffset !== simulation.history.length
    ) {
      throw new Error(`an ${daemon.role} daemon did not reach the end of the log`);
    }
  }
  checkConflicts(simulation);
  checkResults(simulation);
};

/**
 * Simulates entry and endpoint daemons and a log with outages and retention. Pages of the log,
 * deltas and snapshots of peers arrive late, repeated and in any order, even after their reader
 * restarted.
 *
 * @param actions - actions in order
 * @param mechanisms - decisions under test
 * @returns number of records ever appended, to show that the run was not empty
 * @throws an error at the first violated property
 */
export const runConfiguration = (
  actions: readonly SimulationAction[],
  mechanisms: Mechanisms,
): number => {
  const roles = [
    ...Array.from({ length: ENTRY_COUNT }, () => 'entry' as const),
    ...Array.from({ length: ENDPOINT_COUNT }, () => 'endpoint' as const),
  ];
  const simulation: Simulation = {
    mechanisms,
    daemons: roles.map((role) => ({ role, state: createConfiguration() })),
    history: [],
    pending: [],
    messages: [],
    results: new Map(),
    firstOffset: 0,
    log: 'up',
    now: 0,
  };
  for (const action of actions) {
    simulation.now += 1;
    performAction(simulation, action);
  }
  readToEnd(simulation);
  checkFinalState(simulation);
  return simulation.history.length;
};
