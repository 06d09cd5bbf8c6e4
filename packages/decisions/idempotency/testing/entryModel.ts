import { planCarryForward } from '../carryForward.js';
import { createIntentState, decideIntent } from '../intent.js';
import { countKeys, findChain } from '../table.js';
import type {
  ChainState,
  IntentEffect,
  IntentEvent,
  IntentState,
  IntentView,
  NoncePlace,
} from '../types.js';
import { sendDispatch, sendFence } from './endpointModel.js';
import type { EndpointModel, EntryModel, Fault, Reply, World } from './types.js';
import { addEntryTask, appendToLog, createModelId, LIMITS, MODEL_KEYS, readLog } from './world.js';
import { assertNever } from '../../../core/assertNever.js';

const REQUEST_TIMEOUT_MS = 8_000;

const getEntry = (world: World, index: number): EntryModel => world.entries[index] as EntryModel;

/** With the read-back disabled, an answered append passes for an active intent. */
const applyReadBack = (world: World, state: IntentState, chain: ChainState | undefined) => {
  const pretends =
    world.mechanisms.readBack === 'disabled' &&
    state.kind === 'settling' &&
    state.append.kind !== 'pending';
  if (!pretends) return chain;
  const { customer, key, fingerprint, issuedAt } = state.request;
  const link = { ...state.place, previous: null, entry: '', at: 0 };
  const open = { ...link, standing: { kind: 'open' } as const };
  return { customer, key, fingerprint, issuedAt, link: open, abandonedEarly: [] };
};

const buildView = (world: World, entry: EntryModel, state: IntentState): IntentView => {
  const { table } = entry;
  const { customer, key } = state.request;
  return {
    now: world.now + entry.skewMs,
    log: entry.logSeen,
    standing: world.mechanisms.readBack === 'disabled' ? 'exact' : table.standing,
    nextOffset: table.nextOffset,
    chain: applyReadBack(world, state, findChain(table, customer, key)),
    kept: countKeys(table),
    keys: table.settings,
    limits: LIMITS,
  };
};

const recordReply = (world: World, requestId: string, reply: Reply): void => {
  if (world.replies.has(requestId)) world.violations.push(`${requestId} was answered twice`);
  world.replies.set(requestId, reply);
};

/** Picks an endpoint; with a fault the entry daemon knows only an old incarnation. */
const chooseTarget = (world: World, exclude: readonly string[], fault: Fault) => {
  const free = world.endpoints.filter(({ id }) => !exclude.includes(id));
  const endpoint = free[world.sequence % Math.max(1, free.length)];
  if (endpoint === undefined) return undefined;
  const { incarnations } = endpoint;
  const known = fault === 'none' ? incarnations.length - 1 : Math.max(0, incarnations.length - 2);
  return { endpoint: endpoint.id, incarnation: incarnations[known] as string };
};

const handleChoose = (
  world: World,
  owner: number,
  requestId: string,
  exclude: readonly string[],
  fault: Fault,
): void => {
  const target = chooseTarget(world, exclude, fault);
  if (target === undefined) {
    const failure = { verdict: 'not-run', code: 'no-endpoint', message: '' } as const;
    postEvent(world, owner, requestId, { kind: 'endpoint-unavailable', failure });
    return;
  }
  const nonce = createModelId(world, world.now + getEntry(world, owner).skewMs);
  world.owners.set(nonce, requestId);
  postEvent(world, owner, requestId, { kind: 'endpoint-chosen', target, nonce });
};

const handleAppend = (
  world: World,
  owner: number,
  requestId: string,
  effect: Extract<IntentEffect, { kind: 'append-records' }>,
  fault: Fault,
): void => {
  const result = appendToLog(world, effect.records, fault);
  for (const { kind, nonce } of effect.records) {
    if (kind === 'intent') world.statistics.intents += 1;
    const event: IntentEvent = { kind: 'append-answered', of: kind, nonce, result };
    addEntryTask(world, owner, () => {
      postEvent(world, owner, requestId, event);
    });
  }
};

const findEndpoint = (world: World, place: NoncePlace): EndpointModel =>
  world.endpoints.find(({ id }) => id === place.endpoint) as EndpointModel;

const performEffect = (
  world: World,
  owner: number,
  requestId: string,
  effect: IntentEffect,
  fault: Fault,
): void => {
  const post = (event: IntentEvent): void => {
    addEntryTask(world, owner, () => {
      postEvent(world, owner, requestId, event);
    });
  };
  switch (effect.kind) {
    case 'choose-endpoint':
      handleChoose(world, owner, requestId, effect.exclude, fault);
      return;
    case 'append-records':
      handleAppend(world, owner, requestId, effect, fault);
      return;
    case 'read-stream':
      readEntry(world, owner);
      return;
    case 'dispatch': {
      const key = world.keyOfRequest.get(requestId) as string;
      sendDispatch(world, findEndpoint(world, effect), effect, key, fault, (result) => {
        post({ kind: 'dispatch-ended', nonce: effect.nonce, result });
      });
      return;
    }
    case 'fence':
      world.statistics.fences += 1;
      sendFence(world, findEndpoint(world, effect), effect, fault, (result) => {
        post({ kind: 'fence-answered', nonce: effect.nonce, result });
      });
      return;
    case 'answer':
      if (effect.source === 'stored') world.statistics.replays += 1;
      recordReply(world, requestId, { kind: 'answer', answer: effect.answer });
      return;
    case 'answer-digest':
      recordReply(world, requestId, { kind: 'digest' });
      return;
    case 'fail': {
      const { verdict, code } = effect.failure;
      recordReply(world, requestId, { kind: 'failure', verdict, code });
      return;
    }
    case 'schedule': {
      const { timer, round } = effect;
      const fire = (): void => {
        postEvent(world, owner, requestId, { kind: 'timer', timer, round });
      };
      addEntryTask(world, owner, fire, effect.delayMs);
      return;
    }
    default:
      assertNever(effect);
  }
};

/** Decides one event of a request; each effect becomes a task that runs at any later time. */
export const postEvent = (
  world: World,
  owner: number,
  requestId: string,
  event: IntentEvent,
): void => {
  const entry = getEntry(world, owner);
  const state = entry.requests.get(requestId);
  if (state === undefined) return;
  const step = decideIntent(state, event, buildView(world, entry, state));
  entry.requests.set(requestId, step.state);
  for (const effect of step.effects) {
    if (effect.kind === 'schedule') performEffect(world, owner, requestId, effect, 'none');
    else
      addEntryTask(world, owner, (fault) => {
        performEffect(world, owner, requestId, effect, fault);
      });
  }
};

/** Reads one batch and tells every request of the entry daemon. */
export const readEntry = (world: World, owner: number): void => {
  const entry = getEntry(world, owner);
  if (entry.activity === 'paused') return;
  readLog(world, entry);
  for (const requestId of [...entry.requests.keys()]) {
    postEvent(world, owner, requestId, { kind: 'folded' });
  }
};

/** A caller sends a request under one of the model's keys. */
export const startModelRequest = (
  world: World,
  owner: number,
  keyIndex: number,
  content: number,
): void => {
  const entry = getEntry(world, owner);
  if (entry.activity === 'paused') return;
  const { key, issuedAt } = MODEL_KEYS[keyIndex] as (typeof MODEL_KEYS)[number];
  const requestId = `request-${world.keyOfRequest.size.toString()}`;
  world.keyOfRequest.set(requestId, key);
  const request = {
    requestId,
    customer: 'customer',
    key,
    fingerprint: `content-${content.toString()}`,
    issuedAt,
    entry: entry.id,
    deadlineAt: world.now + entry.skewMs + REQUEST_TIMEOUT_MS,
  };
  entry.requests.set(requestId, createIntentState(request));
  addEntryTask(world, owner, () => {
    postEvent(world, owner, requestId, { kind: 'start' });
  });
};

/** An entry daemon appends what retention would drop soon. */
export const appendCarried = (world: World, owner: number): void => {
  const entry = getEntry(world, owner);
  if (entry.activity === 'paused' || entry.logSeen === 'out') return;
  const { firstOffset } = world.log;
  const now = world.now + entry.skewMs;
  const info = { firstOffset, now, carryAfterMs: 0, maxRecords: 4 };
  const records = planCarryForward(entry.table, info);
  if (records.length === 0) return;
  world.statistics.carried += records.length;
  addEntryTask(world, owner, (fault) => {
    appendToLog(world, records, fault);
  });
};
