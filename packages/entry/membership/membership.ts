import { PAUSE_THRESHOLD_MS, TICK_MS } from './constants.js';
import type { MembershipState } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import type { EndpointId, Offset } from '../../core/ids.js';
import { toStep } from '../../core/step.js';
import type { Step } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';
import { LEASE_MS } from '../../decisions/membership/constants.js';
import {
  checkEligibility,
  decideMembership,
  initMembership,
} from '../../decisions/membership/membership.js';
import type {
  Eligibility,
  MembershipEffect,
  MembershipEvent as TableEvent,
  ReportedPhase,
} from '../../decisions/membership/types.js';
import type { EndpointPhase, EndpointView } from '../../decisions/placement/types.js';
import type { EntryEffect, MembershipEvent } from '../events.js';
import type { HeartbeatReply, ListedInstance, ReceivedHeartbeat } from '../types.js';

/** Dependencies of the membership decisions. */
export interface MembershipInputs {
  readonly now: () => Millis;
  /** Returns the configuration changes that an endpoint daemon at this offset lacks. */
  readonly getDelta: (offset: Offset) => Pick<HeartbeatReply, 'watermark' | 'records' | 'snapshot'>;
}

type MembershipStep = Step<MembershipState, EntryEffect>;

const PHASES: readonly ReportedPhase[] = ['starting', 'ramping', 'serving', 'draining'];

const toView = (heartbeat: ReceivedHeartbeat): EndpointView => {
  const { load, model, service } = heartbeat;
  return {
    endpoint: heartbeat.endpoint,
    incarnation: heartbeat.incarnation,
    dataCentre: heartbeat.dataCentre,
    ...(model === null ? {} : { model }),
    version: heartbeat.version,
    ...(service === null ? {} : { service }),
    phase: PHASES.find((phase) => phase === heartbeat.phase) ?? 'starting',
    limit: load.limit,
    running: load.running,
    waiting: load.waiting,
    memoryUsedTokens: load.memoryUsedTokens,
    memoryTotalTokens: load.memoryTotalTokens,
    tokensPerSecond: load.tokensPerSecond,
    loadAgeMs: load.ageMs,
    prefixes: new Set(load.prefixes),
    prefixAgeMs: load.prefixAgeMs,
    prefixGaps: load.prefixGaps,
    preemptions: load.preemptions,
  };
};

const logPhase = (
  effect: Extract<MembershipEffect, { readonly kind: 'phase-changed' }>,
): EntryEffect => ({
  kind: 'log',
  name: 'endpoint-phase-changed',
  details: {
    endpoint: effect.endpoint,
    data: { from: effect.from ?? 'unknown', to: effect.to },
  },
});

const buildEndpointLost = (
  state: MembershipState,
  endpoint: EndpointId,
  incarnation: string,
): EntryEffect => {
  const engineStart = state.engineStarts.get(incarnation) ?? '';
  state.engineStarts.delete(incarnation);
  return {
    kind: 'post',
    event: { to: 'requests', kind: 'endpoint-lost', endpoint, incarnation, engineStart },
  };
};

const toEntryEffects = (
  state: MembershipState,
  effect: MembershipEffect,
): readonly EntryEffect[] => {
  switch (effect.kind) {
    case 'phase-changed':
      return effect.to === 'gone' && effect.incarnation !== null
        ? [logPhase(effect), buildEndpointLost(state, effect.endpoint, effect.incarnation)]
        : [logPhase(effect)];
    case 'incarnation-replaced':
      return [buildEndpointLost(state, effect.endpoint, effect.older)];
    case 'heartbeat-ignored':
      return [
        {
          kind: 'log',
          name: 'heartbeat-ignored',
          details: { endpoint: effect.endpoint, data: { reason: effect.reason } },
        },
      ];
    case 'forgotten':
      state.views.delete(effect.endpoint);
      return [];
    // `applyHeartbeat` sends the answer, because it carries configuration besides the lease.
    case 'acknowledge':
      return [];
    default:
      return assertNever(effect);
  }
};

const applyTableEvent = (
  state: MembershipState,
  event: TableEvent<ReceivedHeartbeat>,
): MembershipStep => {
  const step = decideMembership(state.table, event);
  const effects = step.effects.flatMap((effect) => toEntryEffects(state, effect));
  return toStep({ ...state, table: step.state }, ...effects);
};

const applyHeartbeat = (
  state: MembershipState,
  event: Extract<MembershipEvent, { readonly kind: 'heartbeat-received' }>,
  inputs: MembershipInputs,
): MembershipStep => {
  const { heartbeat, heartbeatId } = event;
  const now = inputs.now();
  const { endpoint, dataCentre, incarnation, sequence } = heartbeat;
  const phase = PHASES.find((known) => known === heartbeat.phase) ?? 'starting';
  const known = state.table.endpoints.get(endpoint)?.newest?.incarnation;
  const reported = { endpoint, dataCentre, incarnation, sequence, phase, report: heartbeat };
  const step = applyTableEvent(state, { kind: 'heartbeat', heartbeat: reported, now });
  const isApplied = step.state.table.endpoints.get(endpoint)?.newest === reported;
  if (!isApplied) {
    return toStep(step.state, ...step.effects, {
      kind: 'reply-heartbeat',
      heartbeatId,
      reply: null,
    });
  }
  state.views.set(endpoint, toView(heartbeat));
  state.engineStarts.set(incarnation, heartbeat.engineStart);
  const joined: readonly EntryEffect[] =
    known === incarnation
      ? []
      : [{ kind: 'log', name: 'endpoint-joined', details: { endpoint, data: { incarnation } } }];
  return toStep(
    step.state,
    ...joined,
    ...step.effects,
    {
      kind: 'reply-heartbeat',
      heartbeatId,
      reply: { ...inputs.getDelta(heartbeat.configurationOffset), leaseMs: LEASE_MS },
    },
    {
      kind: 'post',
      event: {
        to: 'requests',
        kind: 'capacity-changed',
        endpoint,
        reportedAt: now - heartbeat.load.ageMs,
      },
    },
    { kind: 'post', event: { to: 'moves', kind: 'evidence-received', heartbeat } },
  );
};

const applyInstanceList = (
  state: MembershipState,
  instances: readonly ListedInstance[],
  now: Millis,
): MembershipStep => {
  const endpoints = new Map(
    [...state.table.endpoints.values()].flatMap(({ endpoint, newest }) =>
      newest === null ? [] : [[newest.report.instance, endpoint] as const],
    ),
  );
  // The list contains instances, whose endpoints are unknown before their first heartbeat.
  const listed = instances.flatMap(({ id, dataCentre, state: listedState }) => {
    const endpoint = endpoints.get(id);
    return endpoint === undefined ? [] : [{ endpoint, dataCentre, state: listedState }];
  });
  const peers = instances.filter(({ role }) => role === 'entry');
  return applyTableEvent({ ...state, peers }, { kind: 'instance-list', instances: listed, now });
};

/** Handles a tick. A late one means that this process was paused, so its state may be stale. */
const handleTick = (state: MembershipState, now: Millis): MembershipStep => {
  const nextTick: EntryEffect = {
    kind: 'schedule',
    delayMs: TICK_MS,
    event: { to: 'membership', kind: 'tick' },
  };
  const lateness = now - state.lastTickAt - TICK_MS;
  const next = { ...state, lastTickAt: now };
  if (lateness < PAUSE_THRESHOLD_MS) {
    const step = applyTableEvent(next, { kind: 'tick', now });
    return toStep(step.state, ...step.effects, nextTick);
  }
  const step = applyTableEvent(next, { kind: 'process-paused', now });
  const logged: EntryEffect = {
    kind: 'log',
    name: 'pause-detected',
    details: { data: { pausedMs: Math.round(lateness) } },
  };
  return toStep(step.state, logged, ...step.effects, nextTick);
};

const toPlacementPhase = (eligibility: Eligibility, reported: EndpointPhase): EndpointPhase => {
  switch (eligibility) {
    case 'eligible':
      return reported;
    case 'data-centre-out':
      return 'draining';
    case 'unknown':
      return 'gone';
    case 'starting':
    case 'draining':
    case 'suspect':
    case 'gone':
      return eligibility;
    default:
      return assertNever(eligibility);
  }
};

/**
 * Lists the endpoints with their current phase.
 *
 * @param state - state of the `membership` child
 * @param now - current instant
 * @returns views for placement
 */
export const listViews = (state: MembershipState, now: Millis): readonly EndpointView[] =>
  [...state.views.values()].map((view) => {
    const phase = toPlacementPhase(checkEligibility(state.table, view.endpoint, now), view.phase);
    return phase === view.phase ? view : { ...view, phase };
  });

const decide = (
  state: MembershipState,
  event: MembershipEvent,
  inputs: MembershipInputs,
): MembershipStep => {
  switch (event.kind) {
    case 'heartbeat-received':
      return applyHeartbeat(state, event, inputs);
    case 'list-updated':
      return applyInstanceList(state, event.instances, inputs.now());
    case 'configuration-updated': {
      const { dataCentresOut, offset } = event;
      return applyTableEvent(state, { kind: 'configuration', dataCentresOut, offset });
    }
    case 'tick':
      return handleTick(state, inputs.now());
    default:
      return assertNever(event);
  }
};

/**
 * Creates the decision logic of the `membership` child.
 *
 * @param inputs - clock and access to the configuration
 * @returns the child's logic
 */
export const createMembershipLogic = (
  inputs: MembershipInputs,
): ChildLogic<MembershipState, MembershipEvent, EntryEffect> => ({
  init: () =>
    toStep<MembershipState, EntryEffect>(
      {
        table: initMembership<ReceivedHeartbeat>(),
        views: new Map(),
        engineStarts: new Map(),
        peers: [],
        lastTickAt: inputs.now(),
      },
      { kind: 'schedule', delayMs: TICK_MS, event: { to: 'membership', kind: 'tick' } },
    ),
  decide: (state, event) => decide(state, event, inputs),
});
