import { DEFAULT_INTENT_LIMITS } from '../constants.js';
import { createNonceTable, decideNonce } from '../nonces.js';
import { parseIntentRecord } from '../records.js';
import { createIntentTable, expireChains, foldIntentBatch, foldIntentRecord } from '../table.js';
import type { AppendResult, IntentLimits, IntentStreamRecord, Nonce } from '../types.js';
import type { EndpointModel, EntryModel, Fault, Mechanisms, Simulation, Task } from './types.js';
import type { Millis } from '../../../core/clock.js';
import type { Offset } from '../../../core/ids.js';

const START: Millis = 1_700_000_000_000;
export const WINDOW_MS: Millis = 60_000;
const READ_LIMIT = 4;
const KEYS = { keyWindowMs: WINDOW_MS, maxUntimedKeys: 100, maxTimedKeys: 100 };
const NONCES = {
  windowMs: WINDOW_MS,
  answerRetentionMs: 5_000,
  maxAnswerBytes: 64,
  maxEntries: 1_000,
};
export const LIMITS: IntentLimits = { ...DEFAULT_INTENT_LIMITS, maxRecordTries: 3 };

/** Two timed keys, issued at the start, and an untimed key. */
export const MODEL_KEYS = [
  { key: 'timed-0', issuedAt: START },
  { key: 'timed-1', issuedAt: START },
  { key: 'untimed', issuedAt: null },
] as const;

/** Creates a UUIDv7 from a time and the simulation's sequence number. */
export const createModelId = (simulation: { sequence: number }, at: Millis): string => {
  simulation.sequence += 1;
  const time = at.toString(16).padStart(12, '0');
  const tail = simulation.sequence.toString(16).padStart(12, '0');
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${tail}`;
};

const createEntry = (index: number): EntryModel => ({
  id: `entry-${index.toString()}`,
  skewMs: [0, 20_000, -20_000][index] ?? 0,
  epoch: 0,
  activity: 'running',
  logSeen: 'up',
  table: createIntentTable(KEYS),
  requests: new Map(),
});

const createEndpoint = (index: number): EndpointModel => ({
  id: `endpoint-${index.toString()}`,
  incarnations: [`endpoint-${index.toString()}-0`],
  table: createNonceTable(`endpoint-${index.toString()}-0`, NONCES),
  accepting: 'accepting',
});

/** Creates three entry daemons, two endpoint daemons and an empty log. */
export const createSimulation = (mechanisms: Mechanisms): Simulation => ({
  mechanisms,
  now: START,
  sequence: 0,
  log: { mode: 'up', records: [], lateAppends: [], firstOffset: 0 },
  observer: createIntentTable(KEYS),
  entries: [0, 1, 2].map(createEntry),
  endpoints: [0, 1].map(createEndpoint),
  tasks: [],
  owners: new Map(),
  executedNonces: new Set(),
  executionsByKey: new Map(),
  keyOfRequest: new Map(),
  replies: new Map(),
  violations: [],
  statistics: { executions: 0, fences: 0, replays: 0, intents: 0, carried: 0, pruned: 0 },
});

/** Adds a task of the network or an endpoint daemon. */
export const addTask = (simulation: Simulation, run: Task['run']): void => {
  simulation.tasks.push({ owner: null, epoch: 0, dueAt: simulation.now, run });
};

/** Adds a task of an entry daemon, which waits during a pause and is dropped on a restart. */
export const addEntryTask = (
  simulation: Simulation,
  owner: number,
  run: Task['run'],
  delayMs: Millis = 0,
): void => {
  const { epoch } = simulation.entries[owner] as EntryModel;
  simulation.tasks.push({ owner, epoch, dueAt: simulation.now + delayMs, run });
};

const addRecords = (simulation: Simulation, records: readonly IntentStreamRecord[]): Offset => {
  const first = simulation.log.records.length;
  for (const record of records) {
    const parsed = parseIntentRecord(JSON.parse(JSON.stringify(record))).unwrap();
    const offset = simulation.log.records.push(parsed) - 1;
    // The observer's clock does not advance, so it never drops a key.
    foldIntentRecord(simulation.observer, offset, parsed, START);
  }
  simulation.observer.standing = 'exact';
  return first;
};

/** Appends to the fake log, subject to its mode and a fault. */
export const appendToLog = (
  simulation: Simulation,
  records: readonly IntentStreamRecord[],
  fault: Fault,
): AppendResult => {
  const { log } = simulation;
  if (fault === 'late') {
    log.lateAppends.push(records);
    return { kind: 'unknown', message: 'timeout' };
  }
  if (fault === 'lose-request') return { kind: 'unknown', message: 'timeout' };
  if (log.mode === 'down') return { kind: 'rejected', message: 'connection refused' };
  const offset = addRecords(simulation, records);
  const lost = fault === 'lose-answer' || log.mode === 'lose-answers';
  return lost ? { kind: 'unknown', message: 'timeout' } : { kind: 'appended', offset };
};

/** Adds the records of the oldest late append to the log. */
export const addLateAppend = (simulation: Simulation): void => {
  const records = simulation.log.lateAppends.shift();
  if (records !== undefined) addRecords(simulation, records);
};

/** With carry-forward disabled, daemons do not read carry-forward records. */
const isVisible = (simulation: Simulation, record: IntentStreamRecord): boolean =>
  simulation.mechanisms.carryForward === 'enabled' || record.kind !== 'carry-forward';

/** Reads one batch into an entry daemon's table. */
export const readLog = (simulation: Simulation, entry: EntryModel): void => {
  const { log } = simulation;
  if (log.mode === 'down') {
    entry.logSeen = 'out';
    return;
  }
  entry.logSeen = 'up';
  const from = Math.max(entry.table.nextOffset, log.firstOffset);
  const to = Math.min(from + READ_LIMIT, log.records.length);
  const records = log.records
    .slice(from, to)
    .map((record, index) => ({ offset: from + index, record }))
    .filter(({ record }) => isVisible(simulation, record));
  const end = to - from < READ_LIMIT ? 'reached' : 'more';
  const now = simulation.now + entry.skewMs;
  const { firstOffset } = log;
  foldIntentBatch(entry.table, { firstOffset, nextOffset: to, records, end }, now);
  expireChains(entry.table, now);
};

/**
 * Drops the records that no live chain needs. It models the assumption that retention drops records
 * only after their chains were carried forward.
 */
export const pruneLog = (simulation: Simulation): void => {
  const needed = [...simulation.observer.chains.values()].map(
    ({ oldestNeededOffset }) => oldestNeededOffset,
  );
  const floor = Math.min(simulation.log.records.length, ...needed);
  if (floor <= simulation.log.firstOffset) return;
  simulation.log.firstOffset = floor;
  simulation.statistics.pruned += 1;
};

/** Restarts an entry daemon, which then rebuilds its state from the log. */
export const restartEntry = (entry: EntryModel): void => {
  entry.epoch += 1;
  entry.activity = 'running';
  entry.logSeen = 'up';
  entry.table = createIntentTable(KEYS);
  entry.requests.clear();
};

/** Restarts an endpoint daemon with an empty table and a new incarnation. */
export const restartEndpoint = (endpoint: EndpointModel): void => {
  const incarnation = `${endpoint.id}-${endpoint.incarnations.length.toString()}`;
  endpoint.incarnations.push(incarnation);
  endpoint.table = createNonceTable(incarnation, NONCES);
};

/** Advances the clock and expires entries of the nonce tables. */
export const updateTime = (simulation: Simulation, ms: Millis): void => {
  simulation.now += ms;
  for (const { table } of simulation.endpoints)
    decideNonce(table, { kind: 'expire', now: simulation.now });
};

/** Counts an execution of a nonce, and adds a violation when its key ran before. */
export const recordExecution = (simulation: Simulation, nonce: Nonce, key: string): void => {
  const count = (simulation.executionsByKey.get(key) ?? 0) + 1;
  simulation.executionsByKey.set(key, count);
  simulation.executedNonces.add(nonce);
  simulation.statistics.executions += 1;
  if (count > 1) simulation.violations.push(`key ${key} ran ${count.toString()} times`);
};
