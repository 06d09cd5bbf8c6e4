import { decideMove, getNewVersionShare, initMove } from './move.js';
import { chooseVersion } from './share.js';
import type { EvidenceCounts, Move, MoveEvent, MoveOutcome, MoveState } from './types.js';
import { createRandomSource } from '../../core/random.js';

/** Behaviour of the new version; the old one has no fault of its own. */
export type VersionBehaviour =
  | 'good'
  | 'fails-always'
  | 'fails-half'
  | 'slow'
  | 'fails-late'
  | 'fails-under-load'
  | 'fails-on-one-route';

/** Result of one simulated move, with the ground truth. */
export interface MoveRun {
  /** First terminal record in the log, with the instant of its append. */
  readonly record: { readonly outcome: MoveOutcome; readonly at: number } | null;
  /** Final phase of the move at each entry daemon. */
  readonly phases: readonly string[];
  /** Requests up to the last one that was sent to the new version. */
  readonly requests: number;
  /** Requests that were sent to the new version. */
  readonly requestsToNew: number;
  /** Requests sent to the new version more than 5 s after its fault was detectable. */
  readonly lateRequestsToNew: number;
  /** Instant at which the fault had affected ten requests. */
  readonly detectableAt: number;
  /** Time from `detectableAt` to the last request that was sent to the new version. */
  readonly reactionMs: number;
  readonly operatorCalls: number;
}

/** Input of one simulated move. */
export interface MoveScenario {
  readonly seed: number;
  readonly behaviour: VersionBehaviour;
  readonly requestsPerSecond: number;
  /** Instant at which an operator orders a rollback at the last entry daemon. */
  readonly orderAt?: number;
  /** Whether any reports reach the entry daemons. */
  readonly reports?: 'mostly' | 'none';
}

export const MOVE: Move = {
  name: 'm',
  model: 'large',
  from: 'v1',
  to: 'v2',
  startedAt: 0,
  deadline: 300_000,
};

const STEP_MS = 100;
const TICK_MS = 500;
const ENTRY_DAEMONS = 3;
const ROUTES = ['/chat', '/batch'];
const CLASSES = ['lookup', 'memo'];
const DATA_CENTRES = ['east', 'west'];
/** Affected requests from which a fault counts as detectable. */
const DETECTABLE_FAULTS = 10;
/** Time within which the new version must receive no more requests. */
const STOP_BOUND_MS = 5_000;
/** Start of the fault of `fails-late`. */
const LATE_FAULT_FROM_MS = 130_000;
const REPORT_LOSS_RATE = 0.2;
const BASE_FAILURE_RATE = 0.005;
const BASE_SLOW_RATE = 0.02;

interface SimulatedEndpoint {
  readonly version: 'v1' | 'v2';
  readonly dataCentre: string;
  incarnation: number;
  counts: Map<string, EvidenceCounts>;
}

/** Request in flight; whether the version's own fault affects it is drawn at its start. */
interface RunningRequest {
  readonly endpoint: SimulatedEndpoint;
  readonly incarnation: number;
  readonly route: string;
  readonly className: string;
  readonly failed: boolean;
  readonly slow: boolean;
  readonly hitByFault: boolean;
}

/** Computes the probability that the new version's own fault makes a request fail. */
const computeFaultProbability = (
  behaviour: VersionBehaviour,
  now: number,
  route: string,
  newShare: number,
): number => {
  switch (behaviour) {
    case 'fails-always':
      return 1;
    case 'fails-half':
      return 0.5;
    case 'fails-late':
      return now >= LATE_FAULT_FROM_MS ? 0.5 : 0;
    case 'fails-under-load':
      return newShare > 0.3 ? 0.5 : 0;
    case 'fails-on-one-route':
      return route === '/batch' ? 0.6 : 0;
    case 'good':
    case 'slow':
      return 0;
  }
};

/**
 * Simulates one move of 300 s with three entry daemons, eight endpoints and two data centres.
 *
 * Injected faults: a fifth of the reports is lost, others are delayed by up to 2 s and reordered,
 * endpoints restart, the log is unavailable for up to 40 s, and for 20 s both versions become slow
 * and fail more often.
 *
 * @param scenario - seed, behaviour of the new version, load and operator's order
 * @returns the result of the run, with the ground truth
 */
export const runMove = (scenario: MoveScenario): MoveRun => {
  const { seed, behaviour, requestsPerSecond, orderAt } = scenario;
  const lossRate = scenario.reports === 'none' ? 1 : REPORT_LOSS_RATE;
  const random = createRandomSource(seed);
  const entries: MoveState[] = Array.from({ length: ENTRY_DAEMONS }, initMove);
  const endpoints = (['v1', 'v2'] as const).flatMap((version) =>
    [0, 1, 2, 3].map((index): SimulatedEndpoint => ({
      version,
      dataCentre: DATA_CENTRES[index % 2] as string,
      incarnation: 0,
      counts: new Map(),
    })),
  );
  const running = new Map<number, RunningRequest[]>();
  const inbox = new Map<number, { readonly entry: number; readonly event: MoveEvent }[]>();
  const outageFrom = random.next() * 250_000;
  const outageTo = outageFrom + random.next() * 40_000;
  const spikeFrom = random.next() * 250_000;
  let now = 0;
  let record: MoveRun['record'] = null;
  let started = 0;
  let requests = 0;
  let requestsToNew = 0;
  let lateRequestsToNew = 0;
  let faultHits = 0;
  let detectableAt = Infinity;
  let lastNewAt = 0;
  let operatorCalls = 0;
  let newShare = 0;

  const scheduleItem = <Item>(table: Map<number, Item[]>, delay: number, item: Item): void => {
    const at = now + Math.max(STEP_MS, Math.ceil(delay / STEP_MS) * STEP_MS);
    table.set(at, [...(table.get(at) ?? []), item]);
  };

  const appendRecord = (outcome: MoveOutcome): void => {
    if (now >= outageFrom && now < outageTo) return;
    record ??= { outcome, at: now };
    const { outcome: first } = record;
    const event = { kind: 'ended-record', name: MOVE.name, outcome: first, offset: 1 } as const;
    for (let entry = 0; entry < ENTRY_DAEMONS; entry += 1) {
      scheduleItem(inbox, random.next() * 500, { entry, event });
    }
  };

  const stepEntry = (index: number, event: MoveEvent): void => {
    const step = decideMove(entries[index] as MoveState, event);
    entries[index] = step.state;
    for (const effect of step.effects) {
      if (effect.kind === 'append-ended') appendRecord(effect.outcome);
      if (effect.kind === 'needs-operator') operatorCalls += 1;
    }
  };

  const startRequest = (entry: MoveState): void => {
    const route = ROUTES[random.next() < 0.6 ? 0 : 1] as string;
    const className = CLASSES[random.next() < 0.7 ? 0 : 1] as string;
    const hash = Math.floor(random.next() * 2 ** 32);
    const isNew = chooseVersion(getNewVersionShare(entry, route), hash) === 'new';
    const endpoint = endpoints[(isNew ? 4 : 0) + Math.floor(random.next() * 4)];
    if (endpoint === undefined) return;
    started += 1;
    if (isNew) {
      requests = started;
      requestsToNew += 1;
      lastNewAt = now;
      if (now > detectableAt + STOP_BOUND_MS) lateRequestsToNew += 1;
    }
    newShare = newShare * 0.998 + (isNew ? 0.002 : 0);
    const spike = now >= spikeFrom && now < spikeFrom + 20_000 ? 4 : 1;
    const faulty =
      isNew && random.next() < computeFaultProbability(behaviour, now, route, newShare);
    const slowed = isNew && behaviour === 'slow' && random.next() < 0.8;
    const failed = faulty || random.next() < BASE_FAILURE_RATE * spike;
    const slow = slowed || random.next() < BASE_SLOW_RATE * spike;
    const { incarnation } = endpoint;
    const request = { endpoint, incarnation, route, className, failed, slow };
    scheduleItem(running, 200 + random.next() * 800, { ...request, hitByFault: faulty || slowed });
  };

  const endRequest = (request: RunningRequest): void => {
    const { endpoint, route, className, failed, slow } = request;
    if (request.incarnation !== endpoint.incarnation) return;
    if (request.hitByFault) faultHits += 1;
    if (faultHits === DETECTABLE_FAULTS) detectableAt = Math.min(detectableAt, now);
    const key = `${route} ${className}`;
    const before = endpoint.counts.get(key) ?? {
      route,
      className,
      successes: 0,
      failures: 0,
      slow: 0,
    };
    endpoint.counts.set(key, {
      ...before,
      successes: before.successes + (failed ? 0 : 1),
      failures: before.failures + (failed ? 1 : 0),
      slow: before.slow + (!failed && slow ? 1 : 0),
    });
  };

  const sendReports = (): void => {
    endpoints.forEach((endpoint, index) => {
      const { version, dataCentre } = endpoint;
      const incarnation = endpoint.incarnation.toString().padStart(4, '0');
      const counts = [...endpoint.counts.values()];
      const report = { endpoint: index.toString(), incarnation, dataCentre, version, counts };
      for (let entry = 0; entry < ENTRY_DAEMONS; entry += 1) {
        if (random.next() < lossRate) continue;
        const delay = random.next() < 0.1 ? random.next() * 2_000 : random.next() * 200;
        scheduleItem(inbox, delay, {
          entry,
          event: { kind: 'evidence', report, now: now + delay },
        });
      }
    });
  };

  const restartEndpoint = (): void => {
    const endpoint = endpoints[Math.floor(random.next() * endpoints.length)];
    if (endpoint === undefined) return;
    endpoint.incarnation += 1;
    endpoint.counts = new Map();
  };

  for (let entry = 0; entry < ENTRY_DAEMONS; entry += 1) {
    stepEntry(entry, { kind: 'move-record', move: MOVE, now: 0 });
  }
  for (now = 0; now <= MOVE.deadline; now += STEP_MS) {
    for (const { entry, event } of inbox.get(now) ?? []) stepEntry(entry, event);
    for (const request of running.get(now) ?? []) endRequest(request);
    inbox.delete(now);
    running.delete(now);
    const arrivals = (requestsPerSecond * STEP_MS) / 1_000;
    const count = Math.floor(arrivals + random.next());
    for (let index = 0; index < count; index += 1) {
      startRequest(entries[Math.floor(random.next() * ENTRY_DAEMONS)] as MoveState);
    }
    if (now % TICK_MS === 0) sendReports();
    if (random.next() < 0.0005) restartEndpoint();
    if (orderAt !== undefined && now === orderAt) {
      stepEntry(ENTRY_DAEMONS - 1, { kind: 'rollback-order', author: 'operator', now });
    }
    entries.forEach((_, index) => {
      if ((now + index * STEP_MS) % TICK_MS === 0) stepEntry(index, { kind: 'tick', now });
    });
  }
  const phases = entries.map((entry) => entry.phase);
  const reactionMs = lastNewAt - detectableAt;
  return {
    record,
    phases,
    requests,
    requestsToNew,
    lateRequestsToNew,
    detectableAt,
    reactionMs,
    operatorCalls,
  };
};
