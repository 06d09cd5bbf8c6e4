import { ENDPOINTS } from './statedSteps.fixture.js';
import { findStatements } from './incarnations.js';
import type { StatedIncarnations } from './incarnations.js';
import type { FleetEvent, FleetStep, Words } from './statedSteps.fixture.js';
import { createStatementsLogic, hasNews } from './statements.js';
import { assertNever } from '../../core/assertNever.js';
import { createVirtualClock } from '../../core/clock.js';
import type { Millis } from '../../core/clock.js';
import { createRandomSource } from '../../core/random.js';
import { buildEndpoint, CONFIGURATION } from '../../decisions/forwarding/forwarding.fixture.js';
import { buildRoutingTable } from '../../decisions/forwarding/routing.js';
import type { EndpointStatement } from '../../decisions/forwarding/statements.js';
import type { EndpointRecord } from '../../decisions/forwarding/types.js';
import { splitFleet } from '../../decisions/membership/reportGroups.js';
import type { AttemptOrder, GatewayEffect } from '../effects.js';
import type { GatewayEvent } from '../events.js';
import { listCandidates } from '../membership/candidates.js';
import { createDataCentres } from '../membership/dataCentres.js';
import { findHolder, findRegistered } from '../membership/holders.js';
import { createMembershipLogic } from '../membership/membership.js';
import { createNewestMoves } from '../moves/moves.js';
import { createRequestsLogic } from '../requests/requests.js';
import type { RecordChange } from '../types.js';

const hashText = (text: string): number => text.length;

const toName = ({ id, startedAt }: Pick<EndpointRecord, 'id' | 'startedAt'>): string =>
  `${id}@${String(startedAt)}`;

const listStatements = (said: Words): readonly EndpointStatement[] => {
  switch (said.kind) {
    case 'nothing':
      return [];
    case 'leaving':
      return [{ kind: 'leaving' }];
    case 'rest':
      return [{ kind: 'rest', restMs: said.restMs }];
    case 'leaving and rest':
      return [{ kind: 'leaving' }, { kind: 'rest', restMs: said.restMs }];
    default:
      return assertNever(said);
  }
};

interface Timer {
  readonly at: Millis;
  readonly run: () => void;
}

/**
 * Plays a series of steps against the children of one gateway, with a virtual clock.
 *
 * @param steps - what happens
 * @param seed - seed of the times of connections and answers
 * @returns what was sent, said and refused
 */
export const runStatedFleet = (
  steps: readonly FleetStep[],
  seed: number,
): readonly FleetEvent[] => {
  const clock = createVirtualClock(1_000_000);
  const random = createRandomSource(seed);
  const events: FleetEvent[] = [];
  const incarnations: StatedIncarnations = new Map();
  const table = buildRoutingTable(CONFIGURATION);
  const records = ENDPOINTS.map((id) => buildEndpoint(id, { service: 'ledger', sequence: 1 }));
  const copy = [...records];
  const spoken: Words[] = records.map(() => ({ kind: 'nothing' }));
  const timers: Timer[] = [];
  const open = new Map<string, AttemptOrder>();
  let nextKey = 1;

  const statements = createStatementsLogic({
    clock,
    incarnations,
    findRegistered: (id) => findRegistered(membershipState, id),
  });
  const membership = createMembershipLogic({
    clock,
    dataCentres: createDataCentres(),
    gone: new Map(),
    listPolledEngines: () => [],
    isResting: () => false,
  });
  let statementsState = statements.init().state;
  let membershipState = membership.init().state;
  const peers = {
    startedAt: clock.now(),
    daemons: new Map(),
    members: new Map(),
    reportedSize: null,
    reports: new Map(),
    summaries: new Map(),
    contacted: new Map(),
    groups: splitFleet({ host: 'h', process: 'p', dataCentre: 'dc-a' }, [], hashText),
    fullReportAt: 0,
    summarySentAt: 0,
    changedAt: 0,
  };
  const requests = createRequestsLogic({
    clock,
    random,
    dataCentre: 'dc-a',
    getRoutingTable: () => table,
    listEndpoints: (service) =>
      listCandidates(
        service,
        {
          membership: membershipState,
          peers,
          requests: requestsState,
          moves: createNewestMoves().current,
          statements: statementsState,
        },
        { process: 'p', hash: hashText },
        clock.now(),
      ),
    findHolder: (holder) => findHolder(holder, membershipState, incarnations),
    getResumptionLimits: () => ({ leavingMs: 1_200, dataCentreOutMs: 2_000 }),
    countDaemons: () => 1,
    isUserOf: () => true,
    getFleet: () => ({ daemons: 1, contact: 'known' }),
    getDrain: () => null,
    hasPeerWithHigherPriority: () => false,
    getLiveSettings: () => ({
      seeds: [],
      budget: { ratio: 10, slack: 10_000, windowMs: 10_000 },
      graceMs: 8_000,
      coldOvershoot: 1.5,
      learnWithin: { leavingMs: 2_000, dataCentreOutMs: 5_000, outageMs: 3_000 },
    }),
    hasAnswerRoom: () => true,
    findStatements: (endpoint) => findStatements(incarnations, endpoint),
    hasCrashes: () => false,
    checkContent: () => ({ kind: 'accepted' }),
    hashContent: () => '',
    usageReports: 'off',
  });
  const requestsState = requests.init().state;

  const listRegistered = (): readonly string[] =>
    [...membershipState.endpoints.values()].map(({ record }) => toName(record));

  const schedule = (delayMs: Millis, run: () => void): void => {
    timers.push({ at: clock.now() + delayMs, run });
  };

  const post = (event: GatewayEvent): void => {
    switch (event.to) {
      case 'requests':
        perform(requests.decide(requestsState, event).effects);
        return;
      case 'membership':
        perform(membership.decide(membershipState, event).effects);
        return;
      case 'statements':
        perform(statements.decide(statementsState, event).effects);
        return;
      default:
    }
  };

  const register = (changes: readonly EndpointRecord[], kind: 'read' | 'restored'): void => {
    const now = clock.now();
    post({
      to: 'membership',
      kind: 'registrations-changed',
      changes: changes.map((record): RecordChange => ({ kind: 'endpoint-registered', record })),
      scope: kind === 'read' ? 'changed' : 'all',
      removals:
        kind === 'read'
          ? { kind: 'certain' }
          : { kind: 'uncertain', since: now, until: now + 2_500 },
    });
  };

  const answer = (order: AttemptOrder, sentAt: Millis): void => {
    const { attempt, key, request, service, startedAt, address } = order;
    const endpoint = { id: order.head.endpointId, service, startedAt, address };
    const index = ENDPOINTS.indexOf(endpoint.id);
    const isCurrent = records[index]?.startedAt === startedAt;
    const said = isCurrent ? (spoken[index] ?? { kind: 'nothing' }) : { kind: 'nothing' as const };
    const base = { to: 'requests', key, attempt } as const;
    if (!open.delete(`${key.toString()}/${attempt.toString()}`)) return;
    const isRefusal = said.kind === 'rest' || said.kind === 'leaving and rest' || !isCurrent;
    if (!isCurrent) {
      const incarnation = toName(records[index] ?? endpoint);
      events.push({ kind: 'misdirected', at: clock.now(), incarnation });
    } else {
      events.push({ kind: 'said', at: clock.now(), incarnation: toName(endpoint), words: said });
      const stated = { request: { id: request.id, sentAt }, statements: listStatements(said) };
      const event = { to: 'statements', kind: 'endpoint-answered', endpoint, ...stated } as const;
      if (hasNews(event, statementsState)) post(event);
    }
    post({
      ...base,
      kind: 'answer-started',
      head: {
        status: isRefusal ? 503 : 200,
        headers: [],
        requestId: null,
        signature: 'signed',
        proof: isRefusal ? 'not-run' : 'none',
        encoding: 'plain',
        framing: 'framed',
      },
    });
    if (!isRefusal) post({ ...base, kind: 'answer-ended' });
  };

  const perform = (effects: readonly GatewayEffect[]): void => {
    for (const effect of effects) {
      switch (effect.kind) {
        case 'post':
          post(effect.event);
          break;
        case 'schedule': {
          const { event } = effect;
          schedule(effect.delayMs, () => {
            post(event);
          });
          break;
        }
        case 'open-attempt': {
          const { attempt, key } = effect.order;
          open.set(`${key.toString()}/${attempt.toString()}`, effect.order);
          schedule(random.next() * 60, () => {
            post({ to: 'requests', kind: 'attempt-connected', key, attempt });
          });
          break;
        }
        case 'send-attempt': {
          const order = open.get(`${effect.key.toString()}/${effect.attempt.toString()}`);
          if (order === undefined) break;
          const { head, startedAt } = order;
          const incarnation = toName({ id: head.endpointId, startedAt });
          events.push({
            kind: 'sent',
            at: clock.now(),
            incarnation,
            incarnations: listRegistered(),
          });
          const sentAt = clock.now();
          schedule(1 + random.next() * 40, () => {
            answer(order, sentAt);
          });
          break;
        }
        case 'cancel-attempt':
          open.delete(`${effect.key.toString()}/${effect.attempt.toString()}`);
          break;
        case 'refuse':
          events.push({
            kind: 'refused',
            at: clock.now(),
            message: effect.failure.message,
            retryAfterMs: effect.failure.retryAfterMs ?? 0,
            incarnations: listRegistered(),
          });
          break;
        default:
      }
    }
  };

  const wait = (durationMs: Millis): void => {
    const end = clock.now() + durationMs;
    for (;;) {
      timers.sort((left, right) => left.at - right.at);
      const [next] = timers;
      if (next === undefined || next.at > end) break;
      timers.shift();
      clock.advance(Math.max(0, next.at - clock.now()));
      next.run();
    }
    clock.advance(Math.max(0, end - clock.now()));
  };

  const call = (path: string): void => {
    const key = nextKey;
    nextKey += 1;
    post({
      to: 'requests',
      kind: 'request-arrived',
      request: {
        key,
        id: `r-${key.toString()}`,
        method: 'POST',
        path,
        host: 'host.example',
        headers: [],
        body: [],
        credential: 'key-1',
        callerTimeoutMs: 600,
        demand: null,
        promptParts: [],
        lastEventId: null,
        receivedAt: clock.now(),
      },
      body: 'whole',
    });
  };

  const play = (step: FleetStep): void => {
    switch (step.kind) {
      case 'say':
        spoken[step.endpoint] = step.words;
        return;
      case 'say-all':
        spoken.fill(step.words);
        return;
      case 'call':
        for (let index = 0; index < step.count; index += 1) {
          call(step.path);
          wait(1);
        }
        return;
      case 'wait':
        wait(step.durationMs);
        return;
      case 'register':
      case 'restart': {
        const before = records[step.endpoint];
        if (before === undefined) return;
        const isRestart = step.kind === 'restart';
        const record = {
          ...before,
          startedAt: (before.startedAt ?? 0) + (isRestart ? 1 : 0),
          sequence: isRestart ? 1 : (before.sequence ?? 0) + 1,
        };
        records[step.endpoint] = record;
        if (isRestart) spoken[step.endpoint] = { kind: 'nothing' };
        register([record], 'read');
        return;
      }
      case 'restore':
        register(copy, 'restored');
        register(records, 'read');
        return;
      case 'fail-children':
        statementsState = statements.init().state;
        membershipState = membership.init().state;
        register(records, 'read');
        return;
      default:
        assertNever(step);
    }
  };

  register(records, 'read');
  for (const step of steps) play(step);
  wait(1_000);
  return events;
};
