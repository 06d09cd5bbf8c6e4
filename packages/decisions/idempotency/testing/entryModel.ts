import { planCarryForward } from '../carryForward.js';
import { createIntentState, decideIntent } from '../intent.js';
import { countKeys, findChain } from '../table.js';
import type {
  ChainState,
  IntentEffect,
  IntentEvent,
  IntentState,
  IntentView,
  NoncePlacement,
} from '../types.js';
import { sendDispatch, sendFence } from './endpointModel.js';
import type { EndpointModel, EntryModel, Fault, Reply, Simulation } from './types.js';
import {
  addEntryTask,
  appendToLog,
  createModelId,
  LIMITS,
  MODEL_KEYS,
  readLog,
} from './simulation.js';
import { assertNever } from '../../../core/assertNever.js';

const REQUEST_TIMEOUT_MS = 8_000;

const getEntry = (simulation: Simulation, index: number): EntryModel =>
  simulation.entries[index] as EntryModel;

/** With the read-back disabled, an intent counts as active as soon as its append is answered. */
const applyReadBack = (
  simulation: Simulation,
  state: IntentState,
  chain: ChainState | undefined,
) => {
  const isReadBackSkipped =
    simulation.mechanisms.readBack === 'disabled' &&
    state.kind === 'settling' &&
    state.append.kind !== 'pending';
  if (!isReadBackSkipped) return chain;
  const { customer, key, fingerprint, issuedAt } = state.request;
  const link = { ...state.placement, previous: null, entry: '', at: 0 };
  const open = { ...link, standing: { kind: 'open' } as const };
  return { customer, key, fingerprint, issuedAt, link: open, abandonedEarly: [] };
};

const buildView = (simulation: Simulation, entry: EntryModel, state: IntentState): IntentView => {
  const { table } = entry;
  const { customer, key } = state.request;
  return {
    now: simulation.now + entry.skewMs,
    log: entry.logSeen,
    standing: simulation.mechanisms.readBack === 'disabled' ? 'exact' : table.standing,
    nextOffset: table.nextOffset,
    chain: applyReadBack(simulation, state, findChain(table, customer, key)),
    keyCounts: countKeys(table),
    keys: table.settings,
    limits: LIMITS,
  };
};

const recordReply = (simulation: Simulation, requestId: string, reply: Reply): void => {
  if (simulation.replies.has(requestId))
    simulation.violations.push(`${requestId} was answered twice`);
  simulation.replies.set(requestId, reply);
};

/** Picks an endpoint; with a fault, the entry daemon knows only its previous incarnation. */
const chooseTarget = (simulation: Simulation, exclude: readonly string[], fault: Fault) => {
  const free = simulation.endpoints.filter(({ id }) => !exclude.includes(id));
  const endpoint = free[simulation.sequence % Math.max(1, free.length)];
  if (endpoint === undefined) return undefined;
  const { incarnations } = endpoint;
  const known = fault === 'none' ? incarnations.length - 1 : Math.max(0, incarnations.length - 2);
  return { endpoint: endpoint.id, incarnation: incarnations[known] as string };
};

const handleChoose = (
  simulation: Simulation,
  owner: number,
  requestId: string,
  exclude: readonly string[],
  fault: Fault,
): void => {
  const target = chooseTarget(simulation, exclude, fault);
  if (target === undefined) {
    const failure = { verdict: 'not-run', code: 'no-endpoint', message: '' } as const;
    postEvent(simulation, owner, requestId, { kind: 'endpoint-unavailable', failure });
    return;
  }
  const nonce = createModelId(simulation, simulation.now + getEntry(simulation, owner).skewMs);
  simulation.owners.set(nonce, requestId);
  postEvent(simulation, owner, requestId, { kind: 'endpoint-chosen', target, nonce });
};

const handleAppend = (
  simulation: Simulation,
  owner: number,
  requestId: string,
  effect: Extract<IntentEffect, { kind: 'append-records' }>,
  fault: Fault,
): void => {
  const result = appendToLog(simulation, effect.records, fault);
  for (const { kind, nonce } of effect.records) {
    if (kind === 'intent') simulation.statistics.intents += 1;
    const event: IntentEvent = { kind: 'append-answered', of: kind, nonce, result };
    addEntryTask(simulation, owner, () => {
      postEvent(simulation, owner, requestId, event);
    });
  }
};

const findEndpoint = (simulation: Simulation, placement: NoncePlacement): EndpointModel =>
  simulation.endpoints.find(({ id }) => id === placement.endpoint) as EndpointModel;

const performEffect = (
  simulation: Simulation,
  owner: number,
  requestId: string,
  effect: IntentEffect,
  fault: Fault,
): void => {
  const post = (event: IntentEvent): void => {
    addEntryTask(simulation, owner, () => {
      postEvent(simulation, owner, requestId, event);
    });
  };
  switch (effect.kind) {
    case 'choose-endpoint':
      handleChoose(simulation, owner, requestId, effect.exclude, fault);
      return;
    case 'append-records':
      handleAppend(simulation, owner, requestId, effect, fault);
      return;
    case 'read-stream':
      readEntry(simulation, owner);
      return;
    case 'dispatch': {
      const key = simulation.keyOfRequest.get(requestId) as string;
      sendDispatch(simulation, findEndpoint(simulation, effect), effect, key, fault, (result) => {
        post({ kind: 'dispatch-ended', nonce: effect.nonce, result });
      });
      return;
    }
    case 'fence':
      simulation.statistics.fences += 1;
      sendFence(simulation, findEndpoint(simulation, effect), effect, fault, (result) => {
        post({ kind: 'fence-answered', nonce: effect.nonce, result });
      });
      return;
    case 'answer':
      if (effect.source === 'stored') simulation.statistics.replays += 1;
      recordReply(simulation, requestId, { kind: 'answer', answer: effect.answer });
      return;
    case 'answer-digest':
      recordReply(simulation, requestId, { kind: 'digest' });
      return;
    case 'fail': {
      const { verdict, code } = effect.failure;
      recordReply(simulation, requestId, { kind: 'failure', verdict, code });
      return;
    }
    case 'schedule': {
      const { timer, round } = effect;
      const fire = (): void => {
        postEvent(simulation, owner, requestId, { kind: 'timer', timer, round });
      };
      addEntryTask(simulation, owner, fire, effect.delayMs);
      return;
    }
    default:
      assertNever(effect);
  }
};

/** Applies an event to a request; each effect becomes a task that may run at any later time. */
export const postEvent = (
  simulation: Simulation,
  owner: number,
  requestId: string,
  event: IntentEvent,
): void => {
  const entry = getEntry(simulation, owner);
  const state = entry.requests.get(requestId);
  if (state === undefined) return;
  const step = decideIntent(state, event, buildView(simulation, entry, state));
  entry.requests.set(requestId, step.state);
  for (const effect of step.effects) {
    if (effect.kind === 'schedule') performEffect(simulation, owner, requestId, effect, 'none');
    else
      addEntryTask(simulation, owner, (fault) => {
        performEffect(simulation, owner, requestId, effect, fault);
      });
  }
};

/** Reads one batch and notifies every request of the entry daemon. */
export const readEntry = (simulation: Simulation, owner: number): void => {
  const entry = getEntry(simulation, owner);
  if (entry.activity === 'paused') return;
  readLog(simulation, entry);
  for (const requestId of [...entry.requests.keys()]) {
    postEvent(simulation, owner, requestId, { kind: 'folded' });
  }
};

/** Starts a request of a caller under one of `MODEL_KEYS`. */
export const startModelRequest = (
  simulation: Simulation,
  owner: number,
  keyIndex: number,
  content: number,
): void => {
  const entry = getEntry(simulation, owner);
  if (entry.activity === 'paused') return;
  const { key, issuedAt } = MODEL_KEYS[keyIndex] as (typeof MODEL_KEYS)[number];
  const requestId = `request-${simulation.keyOfRequest.size.toString()}`;
  simulation.keyOfRequest.set(requestId, key);
  const request = {
    requestId,
    customer: 'customer',
    key,
    fingerprint: `content-${content.toString()}`,
    issuedAt,
    entry: entry.id,
    deadlineAt: simulation.now + entry.skewMs + REQUEST_TIMEOUT_MS,
  };
  entry.requests.set(requestId, createIntentState(request));
  addEntryTask(simulation, owner, () => {
    postEvent(simulation, owner, requestId, { kind: 'start' });
  });
};

/** Appends the carry-forward records that are due at an entry daemon. */
export const appendCarryForward = (simulation: Simulation, owner: number): void => {
  const entry = getEntry(simulation, owner);
  if (entry.activity === 'paused' || entry.logSeen === 'out') return;
  const { firstOffset } = simulation.log;
  const now = simulation.now + entry.skewMs;
  const info = { firstOffset, now, carryAfterMs: 0, maxRecords: 4 };
  const records = planCarryForward(entry.table, info);
  if (records.length === 0) return;
  simulation.statistics.carried += records.length;
  addEntryTask(simulation, owner, (fault) => {
    appendToLog(simulation, records, fault);
  });
};
