import { setTimeout as wait } from 'node:timers/promises';
import { createCaller } from './caller.js';
import {
  CALLER_COUNT,
  CALL_TIMEOUT_MS,
  GATEWAY_COUNT,
  IDLE_SHARE,
  MAX_PIPELINED,
  MIN_CALL_TIMEOUT_MS,
  MIN_STREAM_TIMEOUT_MS,
  PLANNED_CALLER_COUNT,
  PLANNED_CALL_TIMEOUT_MS,
  STREAM_TIMEOUT_MS,
} from './constants.js';
import { sendPipeline } from './pipeliningCaller.js';
import type { Soak } from './soakState.js';
import type { CallKind, CallPace, OperatorLimits, SoakProfile } from './types.js';
import { assertNever } from '../core/assertNever.js';
import type { Millis } from '../core/clock.js';
import type { RandomSource } from '../core/random.js';

const STATUS_OK = 200;

/** Pause of a caller between two pipelines, in ms. */
const PIPELINE_PAUSE_MS = 200;

/** Pause of a caller between two requests, in ms. */
const CALL_PAUSE_MS = 15;

/** How callers behave beside the faults of a profile. */
export interface CallerHabits {
  readonly callerCount: number;
  /** Kinds of requests, drawn with equal probability; a repeated kind is drawn more often. */
  readonly kinds: readonly CallKind[];
  /** Deadline of plain calls; that of streams is the same in all profiles. */
  readonly callTimeoutMs: Millis;
  /** Limits of the first configuration. */
  readonly limits: OperatorLimits;
  /** Shortest timeouts of the routes in all configurations. */
  readonly minCallTimeoutMs: Millis;
  readonly minStreamTimeoutMs: Millis;
  /** Share of the requests after which a caller leaves its connection idle. */
  readonly idleShare: number;
  /** Share of the requests that are slow. */
  readonly slowShare: number;
}

const CALM_LIMITS: OperatorLimits = {
  idleTimeoutMs: 15_000,
  headerTimeoutMs: 3_000,
  maxHeaderBytes: 16_384,
  maxBodyBytes: 100_000,
  callTimeoutMs: CALL_TIMEOUT_MS,
  streamTimeoutMs: STREAM_TIMEOUT_MS,
};

/** Habits of the callers beside the faults of each profile. */
export const HABITS: Readonly<Record<SoakProfile, CallerHabits>> = {
  faults: {
    callerCount: CALLER_COUNT,
    kinds: ['once', 'once', 'idempotent', 'generation', 'resumable'],
    callTimeoutMs: CALL_TIMEOUT_MS,
    limits: CALM_LIMITS,
    minCallTimeoutMs: CALL_TIMEOUT_MS,
    minStreamTimeoutMs: STREAM_TIMEOUT_MS,
    idleShare: 0,
    slowShare: 0,
  },
  planned: {
    callerCount: PLANNED_CALLER_COUNT,
    kinds: ['once', 'idempotent', 'generation', 'unframed', 'resumable'],
    callTimeoutMs: PLANNED_CALL_TIMEOUT_MS,
    limits: { ...CALM_LIMITS, callTimeoutMs: PLANNED_CALL_TIMEOUT_MS, idleTimeoutMs: 4_000 },
    minCallTimeoutMs: MIN_CALL_TIMEOUT_MS,
    minStreamTimeoutMs: MIN_STREAM_TIMEOUT_MS,
    idleShare: 0.15,
    slowShare: 0.25,
  },
};

/** Returns the deadline of a request, and the time after which its route may have ended it. */
const getTimeLimits = (
  kind: CallKind,
  habits: CallerHabits,
): { readonly deadlineMs: Millis; readonly timeLimitMs: Millis } => {
  switch (kind) {
    case 'once':
    case 'idempotent':
      return { deadlineMs: habits.callTimeoutMs, timeLimitMs: habits.minCallTimeoutMs };
    case 'generation':
    case 'unframed':
    case 'resumable':
      return { deadlineMs: STREAM_TIMEOUT_MS, timeLimitMs: habits.minStreamTimeoutMs };
    default:
      return assertNever(kind);
  }
};

/** Picks the pause after a request, in which the connection may stay idle. */
const pickPause = (
  { platform }: Soak,
  { idleShare }: CallerHabits,
  random: RandomSource,
): Millis =>
  idleShare > 0 && random.next() < idleShare
    ? random.next() * IDLE_SHARE * platform.getIdleTimeoutMs()
    : CALL_PAUSE_MS;

/** Picks the next gateway in rotation, or simply the next gateway when none is in rotation. */
const pickGateway = ({ gateways }: Soak, from: number): number => {
  const order = gateways.map((_, step) => (from + 1 + step) % GATEWAY_COUNT);
  return order.find((index) => gateways[index]?.isInRotation()) ?? (from + 1) % GATEWAY_COUNT;
};

/**
 * Sends requests until the soak is over. Switches to the next gateway after a failure, or when its
 * connection was closed and its gateway is out of rotation.
 *
 * @param soak - running soak
 * @param index - number of the caller
 * @param random - source of its draws
 * @param habits - habits of the profile
 * @returns resolves when the caller has ended its last request
 */
export const runCaller = async (
  soak: Soak,
  index: number,
  random: RandomSource,
  habits: CallerHabits,
): Promise<void> => {
  const { clock, gateways, hosts, platform } = soak;
  const caller = createCaller(platform, clock);
  let gateway = index % GATEWAY_COUNT;
  for (let sequence = 0; soak.phase === 'running'; sequence += 1) {
    const keys = platform.listKeys();
    const callerKey = keys[index % keys.length];
    if (callerKey === undefined) break;
    const kind = habits.kinds[Math.floor(random.next() * habits.kinds.length)] ?? 'once';
    const pace: CallPace = random.next() < habits.slowShare ? 'slow' : 'quick';
    const id = `c${index.toString()}-${sequence.toString()}`;
    const body = `body of ${id}`;
    const { deadlineMs, timeLimitMs } = getTimeLimits(kind, habits);
    const incarnation = gateways[gateway]?.getIncarnation() ?? 0;
    const sentAt = clock.now();
    const target = { host: hosts[gateway] ?? '', port: platform.callerPort };
    const wireCall = platform.buildCall({
      id,
      kind,
      pace,
      key: callerKey.key,
      timeoutMs: deadlineMs,
    });
    const { head, outcome } = await caller.call(target, wireCall, body, deadlineMs);
    const { customer, key } = callerKey;
    const endedAt = clock.now();
    soak.calls.push({
      id,
      kind,
      gateway,
      incarnation,
      key,
      customer,
      body,
      sentAt,
      endedAt,
      timeLimitMs,
      head,
      outcome,
    });
    await wait(pickPause(soak, habits, random));
    const isServed = outcome.kind === 'answered' && outcome.status === STATUS_OK;
    const isReachable = gateways[gateway]?.isInRotation() === true || caller.isConnected(target);
    if (!isServed || !isReachable) gateway = pickGateway(soak, gateway);
  }
  caller.close();
};

/** Draws the requests of a pipeline, none of which has a stream as its answer. */
const buildPipeline = (
  soak: Soak,
  idPrefix: string,
  key: string,
  random: RandomSource,
  { callTimeoutMs }: CallerHabits,
) =>
  Array.from({ length: 2 + Math.floor(random.next() * (MAX_PIPELINED - 1)) }, (_, index) => {
    const id = `${idPrefix}-${index.toString()}`;
    const kind: CallKind = random.next() < 0.5 ? 'once' : 'idempotent';
    const timeoutMs = callTimeoutMs;
    const wireCall = soak.platform.buildCall({ id, kind, pace: 'quick', key, timeoutMs });
    return { id, kind, wireCall, body: `body of ${id}` };
  });

/**
 * Sends several requests at once on a connection, and expects the answers in their order, until the
 * soak is over.
 *
 * @param soak - running soak
 * @param index - number of the caller
 * @param random - source of its draws
 * @param habits - habits of the profile
 * @returns resolves when the caller has ended its last requests
 */
export const runPipeliningCaller = async (
  soak: Soak,
  index: number,
  random: RandomSource,
  habits: CallerHabits,
): Promise<void> => {
  const { clock, gateways, hosts, platform } = soak;
  let gateway = index % GATEWAY_COUNT;
  for (let sequence = 0; soak.phase === 'running'; sequence += 1) {
    gateway = pickGateway(soak, gateway);
    const keys = platform.listKeys();
    const callerKey = keys[index % keys.length];
    if (callerKey === undefined) break;
    const idPrefix = `p${index.toString()}-${sequence.toString()}`;
    const calls = buildPipeline(soak, idPrefix, callerKey.key, random, habits);
    const incarnation = gateways[gateway]?.getIncarnation() ?? 0;
    const target = { host: hosts[gateway] ?? '', port: platform.callerPort };
    const sentAt = clock.now();
    const { callTimeoutMs, minCallTimeoutMs } = habits;
    const results = await sendPipeline(platform, clock, target, calls, callTimeoutMs);
    for (const [position, { body, id, kind }] of calls.entries()) {
      const result = results[position];
      if (result === undefined) continue;
      const timeLimitMs = minCallTimeoutMs;
      soak.calls.push({
        id,
        kind,
        gateway,
        incarnation,
        ...callerKey,
        body,
        sentAt,
        timeLimitMs,
        ...result,
      });
    }
    await wait(PIPELINE_PAUSE_MS);
  }
};
