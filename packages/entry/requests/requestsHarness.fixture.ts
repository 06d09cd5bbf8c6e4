import type { RequestsInputs } from './inputs.js';
import { createRequestsLogic } from './requests.js';
import { createSuspicions } from './suspicions.js';
import type { RequestsState } from './types.js';
import { createVirtualClock } from '../../core/clock.js';
import type { Millis } from '../../core/clock.js';
import { createRandomSource } from '../../core/random.js';
import type { Failure } from '../../core/verdict.js';
import { createPlacementTable } from '../../decisions/placement/placementTable.js';
import type { EndpointView } from '../../decisions/placement/types.js';
import { createSurvivalTable } from '../../decisions/survival/survivalTable.js';
import { createSendOwner } from '../../decisions/retries/sendOwner.js';
import type { EntryEffect, RequestsEvent } from '../events.js';
import type { ReceivedHeartbeat, ServiceRequest } from '../types.js';

/** Longer than a budget takes to refill to the floor. */
export const FULL_FLOOR_MS = 60_000;

const buildView = (endpoint: string, limit: number): EndpointView => ({
  endpoint,
  incarnation: `${endpoint}-1`,
  dataCentre: 'dc',
  service: 'ledger',
  phase: limit === 0 ? 'draining' : 'serving',
  limit,
  running: 0,
  waiting: 0,
  memoryUsedTokens: 0,
  memoryTotalTokens: 0,
  tokensPerSecond: 0,
  loadAgeMs: 0,
  prefixes: new Set(),
  prefixAgeMs: 0,
  prefixGaps: 0,
  preemptions: 0,
});

const buildHeartbeat = (endpoint: string) =>
  ({ endpoint, engineStart: 's', rpcUrl: `http://${endpoint}`, load: { limit: 1_000 } }) as const;

/** Effect that sends a call to an endpoint daemon. */
export type CallEffect = Extract<EntryEffect, { readonly kind: 'call-endpoint' }>;

/** The `requests` child on the virtual clock, with two endpoints of one plain service. */
export interface RequestsHarness {
  readonly clock: ReturnType<typeof createVirtualClock>;
  /** Sets the capacity of the endpoints; without it requests wait in the queue. */
  readonly setCapacity: (capacity: 'free' | 'none') => void;
  readonly handle: (event: RequestsEvent) => readonly EntryEffect[];
  readonly receive: (requestId: string, receivedAt?: Millis) => readonly EntryEffect[];
  readonly answer: (call: CallEffect) => readonly EntryEffect[];
  readonly fail: (call: CallEffect, failure: Failure) => readonly EntryEffect[];
}

/**
 * Lists the calls that effects send to endpoint daemons.
 *
 * @param effects - effects of the child
 * @returns the calls in order
 */
export const listCalls = (effects: readonly EntryEffect[]): readonly CallEffect[] =>
  effects.filter((effect): effect is CallEffect => effect.kind === 'call-endpoint');

const buildRequest = (requestId: string, receivedAt: Millis): ServiceRequest => ({
  kind: 'service',
  requestId,
  customer: 'caroni',
  className: null,
  receivedAt,
  // Requests of one fingerprint would become suspects together.
  fingerprint: requestId,
  parts: [],
  service: 'ledger',
  method: 'GET',
  path: '/',
  headers: [],
  body: new Uint8Array(),
  repeat: 'allowed',
  routeClass: null,
  key: null,
  keyIssuedAt: null,
});

/**
 * Creates the child.
 *
 * @param seed - seed of the jitter and of the placements
 * @returns the harness, at an instant at which all budgets have refilled to the floor
 */
export const createRequestsHarness = (seed = 1): RequestsHarness => {
  const clock = createVirtualClock(FULL_FLOOR_MS);
  const survival = createSurvivalTable();
  let limit = 100_000;
  let lastId = 0;
  const inputs = {
    now: clock.now,
    random: createRandomSource(seed),
    createId: () => {
      lastId += 1;
      return `id-${lastId.toString()}`;
    },
    process: 'entry-1',
    dataCentre: 'dc',
    models: [],
    placementPolicy: { kind: 'round-robin' },
    limits: { maxRequests: 10_000, queueCapacity: 10_000 },
    getDefaultClass: () => undefined,
    getQuarantined: () => new Map(),
    getClasses: () => new Map(),
    listEndpoints: () => ['endpoint-1', 'endpoint-2'].map((name) => buildView(name, limit)),
    findHeartbeat: (endpoint: string) => buildHeartbeat(endpoint) as unknown as ReceivedHeartbeat,
    getCustomerWeight: () => 1,
    chooseVersion: () => null,
    sends: createSendOwner(0),
    suspicions: createSuspicions(),
    placements: createPlacementTable(survival),
    survival,
  } as unknown as RequestsInputs;
  const logic = createRequestsLogic(inputs);
  let state: RequestsState = logic.init().state;
  const handle = (event: RequestsEvent): readonly EntryEffect[] => {
    const step = logic.decide(state, event);
    state = step.state;
    return step.effects;
  };
  const complete = (
    completion: Extract<RequestsEvent, { readonly kind: 'endpoint-completed' }>['completion'],
  ) => handle({ to: 'requests', kind: 'endpoint-completed', completion });
  return {
    clock,
    setCapacity: (capacity) => {
      limit = capacity === 'free' ? 100_000 : 0;
    },
    handle,
    receive: (requestId, receivedAt = clock.now()) =>
      handle({
        to: 'requests',
        kind: 'request-received',
        request: buildRequest(requestId, receivedAt),
      }),
    answer: ({ call }) => {
      const { requestId } = call;
      const { attempt } = call.permit;
      const answer = { status: 200, headers: [], body: new Uint8Array() };
      return complete({ kind: 'call-answered', requestId, attempt, answer });
    },
    fail: ({ call }, failure) => {
      const { requestId } = call;
      const { attempt } = call.permit;
      return complete({ kind: 'call-failed', requestId, attempt, failure });
    },
  };
};
