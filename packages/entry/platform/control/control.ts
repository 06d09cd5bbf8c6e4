import { assertNever } from '../../../core/assertNever.js';
import type { Millis } from '../../../core/clock.js';
import type { Offset } from '../../../core/ids.js';
import { toStep } from '../../../core/step.js';
import type { Step } from '../../../core/step.js';
import type { ChildLogic } from '../../../core/supervision/types.js';
import { applySnapshot, planSnapshot } from '../../../decisions/configuration/exchange.js';
import {
  closeGap,
  createConfiguration,
  foldControlRecord,
  openGap,
} from '../../../decisions/configuration/fold.js';
import { parseControlRecord, parseSnapshot } from '../../../decisions/configuration/records.js';
import type {
  ConfigurationState,
  ConfigurationView,
  FoldResult,
  RawRecord,
} from '../../../decisions/configuration/types.js';
import { buildView } from '../../../decisions/configuration/view.js';
import type { ControlEvent, EntryEffect, FoldedRecord, LogBatch } from '../../events.js';
import {
  READ_LIMIT,
  READ_RETRY_MS,
  READ_WAIT_MS,
  SNAPSHOT_MAX_AGE_MS,
  UPKEEP_MS,
} from '../constants.js';

/** Configuration in force in this daemon, with its source. */
export interface ControlState {
  readonly configuration: ConfigurationState;
  readonly view: ConfigurationView;
  /** Source of the configuration; `none` until the log or a peer has supplied one. */
  readonly source: 'none' | 'log' | 'peer';
  /** `out` from a failed read of the log until the next successful one. */
  readonly log: 'up' | 'out';
  readonly read: 'running' | 'waiting';
  /** Oldest offset that the log retains. */
  readonly firstOffset: Offset;
  /** Offset of the latest snapshot record, or null before the first. */
  readonly snapshotOffset: Offset | null;
  /** Instant at which that record was read, or at which the child started. */
  readonly snapshotReadAt: Millis;
}

/** Dependencies of the `control` child. */
export interface ControlInputs {
  readonly now: () => Millis;
  readonly createId: () => string;
  readonly process: string;
  /** Lists the HTTP addresses of other entry daemons. */
  readonly listPeers: () => readonly string[];
  readonly choosePeer: (peers: readonly string[]) => string | undefined;
}

type ControlStep = Step<ControlState, EntryEffect>;

const buildRead = (state: ControlState): EntryEffect => ({
  kind: 'read-log',
  stream: 'control',
  from: state.configuration.nextOffset,
  waitMs: state.source === 'log' ? READ_WAIT_MS : 0,
});

const logFoldResult = (result: FoldResult, offset: Offset): readonly EntryEffect[] => {
  const position = { stream: 'control', offset };
  switch (result.kind) {
    case 'in-force': {
      const { kind, entity, author } = result.entry;
      const details = { entity, position, data: { kind, author } };
      return [{ kind: 'log', name: 'configuration-applied', details }];
    }
    case 'void': {
      const { kind, entity, author } = result.record;
      const winner = result.winner === null ? 'none' : result.winner.offset.toString();
      const details = { entity, position, data: { kind, author, winner } };
      return [{ kind: 'log', name: 'configuration-void', details }];
    }
    case 'snapshot':
    case 'ignored':
      return [];
    default:
      return assertNever(result);
  }
};

const publishConfiguration = (
  state: ControlState,
  folded: readonly FoldedRecord[],
): readonly EntryEffect[] => {
  const { dataCentresOut, offset } = state.view;
  return [
    {
      kind: 'post',
      event: { to: 'membership', kind: 'configuration-updated', dataCentresOut, offset },
    },
    { kind: 'post', event: { to: 'operator', kind: 'records-folded', folded } },
    { kind: 'post', event: { to: 'moves', kind: 'configuration-updated' } },
    { kind: 'post', event: { to: 'requests', kind: 'configuration-updated' } },
  ];
};

const foldRawRecord = (
  state: ControlState,
  raw: RawRecord,
  now: Millis,
): {
  readonly state: ControlState;
  readonly folded: FoldedRecord | null;
  readonly effects: readonly EntryEffect[];
} => {
  const parsed = parseControlRecord(raw.body);
  const record = parsed.isOk() ? parsed.value : null;
  const fold = foldControlRecord(state.configuration, raw, record);
  const snapshotOffset = fold.result.kind === 'snapshot' ? raw.offset : state.snapshotOffset;
  const snapshotReadAt = fold.result.kind === 'snapshot' ? now : state.snapshotReadAt;
  const next = { ...state, configuration: fold.state, snapshotOffset, snapshotReadAt };
  if (record === null) {
    const message = parsed.isErr() ? parsed.error.message : '';
    const position = { stream: 'control', offset: raw.offset };
    const details = { position, data: { message } };
    const effects: readonly EntryEffect[] = [{ kind: 'log', name: 'record-rejected', details }];
    return { state: next, folded: null, effects };
  }
  const folded = { nonce: record.nonce, offset: raw.offset, result: fold.result };
  return { state: next, folded, effects: logFoldResult(fold.result, raw.offset) };
};

const applyBatch = (state: ControlState, batch: LogBatch, now: Millis): ControlStep => {
  const effects: EntryEffect[] = [];
  const folded: FoldedRecord[] = [];
  let next: ControlState = {
    ...state,
    configuration: openGap(state.configuration, batch.firstOffset),
    log: 'up',
    read: 'running',
    firstOffset: batch.firstOffset,
  };
  for (const raw of batch.records) {
    const step = foldRawRecord(next, raw, now);
    next = step.state;
    effects.push(...step.effects);
    if (step.folded !== null) folded.push(step.folded);
  }
  const isAtEnd = batch.records.length < READ_LIMIT;
  const configuration = isAtEnd ? closeGap(next.configuration) : next.configuration;
  const source = isAtEnd ? 'log' : next.source;
  next = { ...next, configuration, source, view: buildView(configuration) };
  if (state.log === 'out') effects.push({ kind: 'log', name: 'log-available', details: {} });
  const isChanged = batch.records.length > 0 || state.source !== source;
  return toStep(
    next,
    ...effects,
    ...(isChanged ? publishConfiguration(next, folded) : []),
    buildRead(next),
  );
};

const fetchFromPeer = (state: ControlState, inputs: ControlInputs): readonly EntryEffect[] => {
  if (state.source !== 'none') return [];
  const url = inputs.choosePeer(inputs.listPeers());
  return url === undefined ? [] : [{ kind: 'fetch-peer-configuration', url }];
};

const handleReadFailure = (
  state: ControlState,
  reason: string,
  inputs: ControlInputs,
): ControlStep => {
  const next: ControlState = { ...state, log: 'out', read: 'waiting' };
  const nextRead: EntryEffect = {
    kind: 'schedule',
    delayMs: READ_RETRY_MS,
    event: { to: 'control', kind: 'read-due' },
  };
  const logged: EntryEffect = {
    kind: 'log',
    name: 'log-unavailable',
    details: { data: { stream: 'control', reason } },
  };
  const peerFetch = fetchFromPeer(next, inputs);
  return state.log === 'out'
    ? toStep(next, nextRead, ...peerFetch)
    : toStep(next, nextRead, logged, ...peerFetch);
};

const applyPeerSnapshot = (state: ControlState, json: unknown): ControlStep => {
  const parsed = parseSnapshot(json);
  if (parsed.isErr()) {
    const details = { data: { message: parsed.error.message } };
    return toStep(state, { kind: 'log', name: 'record-rejected', details });
  }
  const configuration = applySnapshot(state.configuration, parsed.value);
  if (configuration === state.configuration && state.source !== 'none') return toStep(state);
  const source = state.source === 'log' ? 'log' : 'peer';
  const next: ControlState = { ...state, configuration, source, view: buildView(configuration) };
  const details = { position: { stream: 'control', offset: configuration.nextOffset } };
  return toStep(
    next,
    { kind: 'log', name: 'configuration-from-peer', details },
    ...publishConfiguration(next, []),
  );
};

const appendSnapshot = (state: ControlState, inputs: ControlInputs): ControlStep => {
  const now = inputs.now();
  const nextUpkeep: EntryEffect = {
    kind: 'schedule',
    delayMs: UPKEEP_MS,
    event: { to: 'control', kind: 'upkeep' },
  };
  const info = {
    firstOffset: state.firstOffset,
    snapshotAt: state.snapshotOffset,
    snapshotAgeMs: now - state.snapshotReadAt,
    maxAgeMs: SNAPSHOT_MAX_AGE_MS,
    now,
  };
  const record = planSnapshot(state.configuration, info, inputs.process, inputs.createId());
  if (record === null || state.log === 'out') return toStep(state, nextUpkeep);
  const details = { data: { asOf: record.asOf, entities: record.entities.length } };
  return toStep(
    state,
    nextUpkeep,
    { kind: 'log', name: 'snapshot-appended', details },
    {
      kind: 'post',
      event: {
        to: 'appends',
        kind: 'append-requested',
        stream: 'control',
        record,
        owner: { kind: 'own-record' },
      },
    },
  );
};

const decide = (state: ControlState, event: ControlEvent, inputs: ControlInputs): ControlStep => {
  switch (event.kind) {
    case 'read-ended':
      return applyBatch(state, event.batch, inputs.now());
    case 'read-failed':
      return handleReadFailure(state, event.reason, inputs);
    case 'read-due': {
      if (state.read === 'running') return toStep(state);
      const next: ControlState = { ...state, read: 'running' };
      return toStep(next, buildRead(next));
    }
    case 'peer-answered':
      return applyPeerSnapshot(state, event.snapshot);
    // The next failed read of the log tries another peer.
    case 'peer-failed':
      return toStep(state);
    case 'upkeep':
      return appendSnapshot(state, inputs);
    default:
      return assertNever(event);
  }
};

/**
 * Creates the decision logic of the `control` child. It maintains the configuration in force and
 * rebuilds it from the log, or from a peer while the log is unavailable.
 *
 * @param inputs - clock, identity and peers
 * @returns the child's logic
 */
export const createControlLogic = (
  inputs: ControlInputs,
): ChildLogic<ControlState, ControlEvent, EntryEffect> => ({
  init: () => {
    const configuration = createConfiguration();
    const state: ControlState = {
      configuration,
      view: buildView(configuration),
      source: 'none',
      log: 'up',
      read: 'running',
      firstOffset: 0,
      snapshotOffset: null,
      snapshotReadAt: inputs.now(),
    };
    return toStep<ControlState, EntryEffect>(state, buildRead(state), {
      kind: 'schedule',
      delayMs: UPKEEP_MS,
      event: { to: 'control', kind: 'upkeep' },
    });
  },
  decide: (state, event) => decide(state, event, inputs),
});
