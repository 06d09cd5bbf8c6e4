import { NO_LOAD } from './load.js';
import { createRequestsLogic } from './requests.js';
import type { DrainTimes, RequestsState } from './types.js';
import { createVirtualClock } from '../../core/clock.js';
import { createRandomSource } from '../../core/random.js';
import {
  buildCandidate,
  buildEndpoint,
  CONFIGURATION,
  DEMAND,
} from '../../decisions/forwarding/forwarding.fixture.js';
import { buildRoutingTable } from '../../decisions/forwarding/routing.js';
import type { EndpointId } from '../../core/ids.js';
import type { EndpointLoad } from '../../decisions/forwarding/placeAttempt.js';
import type { RequestLimit } from '../../decisions/forwarding/requestLimit.js';
import type { HolderState, ResumptionLimits } from '../../decisions/forwarding/resumption.js';
import type { EndpointStatements } from '../../decisions/forwarding/statements.js';
import type {
  EndpointIncarnation,
  EndpointRecord,
  EngineTraits,
  ForwardRequest,
} from '../../decisions/forwarding/types.js';
import { checkContent } from '../../decisions/quarantine/crashEvidence.js';
import type { AttemptOrder, GatewayEffect } from '../effects.js';
import type { ProbeResult, RequestsEvent } from '../events.js';
import { createQuarantineLogic } from '../quarantine/quarantine.js';
import type { QuarantineState } from '../quarantine/quarantine.js';
import { createQuarantineWrites } from '../quarantine/writes.js';
import type { AnswerHead, TransferResult } from '../types.js';

export const SIGNED_HEAD: AnswerHead = {
  status: 200,
  headers: ['Response-Mark', 'a'],
  requestId: 'r-1',
  signature: 'signed',
  proof: 'none',
  encoding: 'plain',
  framing: 'framed',
};

/** Times for which a generation may resume at an endpoint that gets no new requests. */
export const RESUMPTION_LIMITS: ResumptionLimits = { leavingMs: 1_200, dataCentreOutMs: 2_000 };

/** The requests child with a virtual clock and inputs that a test can change. */
export interface RequestsHarness {
  readonly endpoints: EndpointRecord[];
  readonly quarantine: QuarantineState;
  /** What is known of endpoints that are not in `endpoints`; they are lost at first. */
  readonly holders: Map<EndpointId, HolderState>;
  /** Loads of endpoints; none at first. */
  readonly loads: Map<EndpointId, EndpointLoad>;
  /** Limits that endpoints state. */
  readonly limits: Map<EndpointId, RequestLimit>;
  /** What endpoints have stated; nothing at first. */
  readonly statements: Map<EndpointId, EndpointStatements>;
  /** Endpoints from which a peer has a generation of higher priority to transfer. */
  readonly peerPrioritySources: Set<string>;
  readonly post: (event: RequestsEvent) => readonly GatewayEffect[];
  readonly sendRequest: (
    path: string,
    change?: Partial<ForwardRequest>,
  ) => readonly GatewayEffect[];
  /** Advances the clock and posts the events that become due. */
  readonly wait: (duration: number) => readonly GatewayEffect[];
  readonly countOpen: () => number;
  readonly setConfigured: (state: 'yes' | 'no') => void;
  /** Replaces the configuration by an equal one with another version. */
  readonly setVersion: (version: number) => void;
  /**
   * Sets the result of the probes that follow broken connections; `reachable` at first. A test posts
   * the results of those that stay `pending`.
   */
  readonly setProbeResult: (result: ProbeResult | 'pending') => void;
  /**
   * Sets the answer to orders to stop runs; `unreachable` at first, after which a request goes on at once.
   * A test posts the answers to those that stay `pending`.
   */
  readonly setStopResult: (result: TransferResult | 'pending') => void;
  readonly setDrain: (drain: DrainTimes | null) => void;
  /** Sets whether the retry budget permits retries; `available` at first. */
  readonly setRetries: (state: 'available' | 'spent') => void;
  /** Sets whether the engines take orders for their runs; they do at first. */
  readonly setMoves: (moves: EngineTraits['moves']) => void;
  readonly getNow: () => number;
}

interface Timer {
  readonly at: number;
  readonly event: RequestsEvent;
}

/** Time for which the child has counted its retries before a test; longer than the window. */
const COUNTED_MS = 60_000;

/** Limit of the bytes that are kept of all answers. */
const MAX_ANSWER_BYTES = 32 * 1024 * 1024;

export const buildEngines = (): EndpointRecord[] => [
  buildEndpoint('e-1'),
  buildEndpoint('e-2', { dataCentre: 'dc-b' }),
  buildEndpoint('e-3', { dataCentre: 'dc-c' }),
];

export const buildLedgers = (): EndpointRecord[] =>
  ['l-4', 'l-5', 'l-6'].map((id) => buildEndpoint(id, { service: 'ledger' }));

/** Lists an endpoint as its newest word says, as the gateway does. */
const applyStatements = (
  record: EndpointRecord,
  statements: ReadonlyMap<EndpointId, EndpointStatements>,
): EndpointRecord =>
  statements.get(record.id)?.leavingAt == null ? record : { ...record, phase: 'leaving' };

/** Guards, after each event, against bytes that stay counted or are not counted. */
const assertAnswerBytes = ({ answerBytes, inFlight }: RequestsState): void => {
  let sum = 0;
  for (const { attempts, fallbackAnswer } of inFlight.values()) {
    sum += fallbackAnswer?.heldBytes ?? 0;
    for (const { body, splitter } of attempts.values())
      sum += body.allocatedBytes + splitter.rest.allocatedBytes;
  }
  if (sum !== answerBytes)
    throw new Error(`${answerBytes.toString()} bytes are counted for ${sum.toString()}`);
};

/**
 * Creates the requests child and its inputs.
 *
 * @returns the harness
 */
export const createRequestsHarness = (): RequestsHarness => {
  const clock = createVirtualClock(1_000);
  const endpoints = [...buildEngines(), ...buildLedgers()];
  const quarantine = createQuarantineLogic({
    clock,
    random: createRandomSource(5),
    writes: createQuarantineWrites(),
  });
  const quarantineState = quarantine.init().state;
  const limits = new Map<string, RequestLimit>();
  const statements = new Map<EndpointId, EndpointStatements>();
  const loads = new Map<string, EndpointLoad>();
  const holders = new Map<EndpointId, HolderState>();
  let probeResult: ProbeResult | 'pending' = 'reachable';
  let stopResult: TransferResult | 'pending' = { kind: 'unreachable', message: 'timed out' };
  const peerPrioritySources = new Set<string>();
  let table = buildRoutingTable(CONFIGURATION);
  let configured: 'yes' | 'no' = 'yes';
  let drain: DrainTimes | null = null;
  let retries: 'available' | 'spent' = 'available';
  let timers: Timer[] = [];
  let nextKey = 1;
  const logic = createRequestsLogic({
    clock,
    random: createRandomSource(3),
    // None of the engines is in the data centre of the daemon, so that it prefers none of them.
    dataCentre: 'dc-z',
    getRoutingTable: () => (configured === 'yes' ? table : null),
    listEndpoints: (service) =>
      endpoints
        .filter((record) => record.service === service)
        .map((record) =>
          buildCandidate(applyStatements(record, statements), {
            limit: limits.get(record.id) ?? null,
            rest: statements.get(record.id)?.rest ?? null,
            load: loads.get(record.id) ?? NO_LOAD,
          }),
        ),
    findHolder: ({ id, startedAt }) => {
      const known = endpoints.find((record) => record.id === id);
      if (known === undefined) return holders.get(id) ?? { kind: 'lost' };
      if (known.startedAt !== startedAt) return { kind: 'lost' };
      const statedAt = statements.get(id)?.leavingAt ?? null;
      const leavingAt = known.phase === 'leaving' ? clock.now() : statedAt;
      return holders.get(id) ?? { kind: 'known', leavingAt, dataCentreOutAt: null };
    },
    getResumptionLimits: () => RESUMPTION_LIMITS,
    countDaemons: () => 1,
    getFleet: () => ({ daemons: 1, contact: 'known' }),
    isUserOf: () => true,
    getDrain: () => drain,
    hasPeerWithHigherPriority: (source) => peerPrioritySources.has(source),
    getLiveSettings: () => ({
      seeds: [],
      budget: {
        ratio: retries === 'available' ? 0.2 : 0,
        slack: retries === 'available' ? 50 : 0,
        windowMs: 10_000,
      },
      graceMs: 8_000,
      coldOvershoot: 1.5,
      learnWithin: { leavingMs: 2_000, dataCentreOutMs: 5_000, outageMs: 3_000 },
    }),
    hasAnswerRoom: () => state.answerBytes <= MAX_ANSWER_BYTES,
    findStatements: ({ id }) => statements.get(id) ?? null,
    hasCrashes: () => quarantineState.evidence.reports.size > 0,
    checkContent: (content) => checkContent(quarantineState.evidence, content, clock.now()),
    hashContent: ({ body, path }) => path + Buffer.concat(body).toString(),
    usageReports: 'off',
  });
  const { state } = logic.init();
  clock.advance(COUNTED_MS);

  const performEffect = (effect: GatewayEffect): readonly GatewayEffect[] => {
    if (effect.kind === 'schedule' && effect.event.to === 'requests') {
      timers.push({ at: clock.now() + effect.delayMs, event: effect.event });
    }
    if (effect.kind === 'probe-endpoint' && probeResult !== 'pending') {
      const { attempt, key } = effect;
      return post({ to: 'requests', kind: 'endpoint-probed', key, attempt, result: probeResult });
    }
    if (effect.kind === 'stop-run' && stopResult !== 'pending') {
      const { attempt, key, source } = effect;
      const answer = { to: 'requests', kind: 'run-stop-answered', key, attempt, source } as const;
      return post({ ...answer, result: stopResult });
    }
    if (effect.kind !== 'post') return [];
    if (effect.event.to === 'requests') return post(effect.event);
    if (effect.event.to !== 'quarantine') return [];
    const { effects } = quarantine.decide(quarantineState, effect.event);
    return [...effects, ...effects.flatMap(performEffect)];
  };

  const post = (event: RequestsEvent): readonly GatewayEffect[] => {
    const { effects } = logic.decide(state, event);
    assertAnswerBytes(state);
    return [...effects, ...effects.flatMap(performEffect)];
  };

  return {
    endpoints,
    quarantine: quarantineState,
    holders,
    limits,
    statements,
    loads,
    peerPrioritySources,
    post,
    sendRequest: (path, change = {}) => {
      const request: ForwardRequest = {
        key: nextKey,
        id: 'r-1',
        method: 'POST',
        path,
        host: 'host.example',
        headers: [],
        body: [Buffer.from('body')],
        credential: 'key-1',
        callerTimeoutMs: 39_000,
        demand: path.startsWith('/memo') || path.startsWith('/summary') ? DEMAND : null,
        promptParts: [],
        lastEventId: null,
        receivedAt: clock.now(),
        ...change,
      };
      nextKey += 1;
      return post({ to: 'requests', kind: 'request-arrived', request, body: 'whole' });
    },
    wait: (duration) => {
      const end = clock.now() + duration;
      const effects: GatewayEffect[] = [];
      for (;;) {
        const [next] = timers.filter(({ at }) => at <= end).sort((a, b) => a.at - b.at);
        if (next === undefined) break;
        timers = timers.filter((timer) => timer !== next);
        clock.advance(Math.max(0, next.at - clock.now()));
        effects.push(...post(next.event));
      }
      clock.advance(end - clock.now());
      return effects;
    },
    countOpen: () => state.inFlight.size,
    getNow: () => clock.now(),
    setProbeResult: (next) => {
      probeResult = next;
    },
    setStopResult: (next) => {
      stopResult = next;
    },
    setDrain: (next) => {
      drain = next;
    },
    setRetries: (next) => {
      retries = next;
    },
    setVersion: (version) => {
      table = { ...table, version };
    },
    setMoves: (moves) => {
      const services = CONFIGURATION.services.map((service) =>
        service.engine === null ? service : { ...service, engine: { ...service.engine, moves } },
      );
      table = buildRoutingTable({ ...CONFIGURATION, services });
    },
    setConfigured: (next) => {
      configured = next;
    },
  };
};

/**
 * Finds the attempts that a decision opens.
 *
 * @param effects - effects of the decision
 * @returns the orders to open them
 */
export const findAttemptOrders = (effects: readonly GatewayEffect[]): readonly AttemptOrder[] =>
  effects.flatMap((effect) => (effect.kind === 'open-attempt' ? [effect.order] : []));

/**
 * Returns the first attempt that effects open.
 *
 * @param effects - effects of an event
 * @returns the order; throws without one
 */
export const getOrder = (effects: readonly GatewayEffect[]): AttemptOrder => {
  const [order] = findAttemptOrders(effects);
  if (order === undefined) throw new Error('no attempt was opened');
  return order;
};

/**
 * Returns what the events of an attempt have in common.
 *
 * @param order - order that opened the attempt
 * @returns the receiver and the names of the attempt
 */
export const toEvent = ({ attempt, key }: AttemptOrder) =>
  ({ to: 'requests', key, attempt }) as const;

/**
 * Names the endpoint of an attempt as the source of a transfer.
 *
 * @param order - order to open the attempt
 * @returns the incarnation of the endpoint
 */
export const toSource = ({
  address,
  head,
  service,
  startedAt,
}: AttemptOrder): EndpointIncarnation => ({ address, id: head.endpointId, service, startedAt });

/**
 * Finds the first effect of a kind.
 *
 * @param effects - effects of a decision
 * @param kind - kind to find
 * @returns the effect, or undefined when there is none
 */
export const findEffect = <Kind extends GatewayEffect['kind']>(
  effects: readonly GatewayEffect[],
  kind: Kind,
): Extract<GatewayEffect, { kind: Kind }> | undefined =>
  effects.find((effect): effect is Extract<GatewayEffect, { kind: Kind }> => effect.kind === kind);

/**
 * Builds the bytes of stream events with consecutive ids.
 *
 * @param from - id of the first event
 * @param to - id of the last event
 * @returns the encoded events
 */
export const buildEvents = (from: number, to: number): Uint8Array =>
  Buffer.from(
    Array.from(
      { length: to - from + 1 },
      (_, index) => `id: ${(from + index).toString()}\ndata: x\n\n`,
    ).join(''),
  );
