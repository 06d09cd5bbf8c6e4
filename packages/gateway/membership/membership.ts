import {
  LEAVING_REPORT_VALIDITY_MS,
  MAX_REMOVED_ENDPOINTS,
  REPORT_POLL_INTERVAL_MS,
} from './constants.js';
import { applyDataCentres, endHold } from './dataCentres.js';
import type { DataCentresState } from './dataCentres.js';
import { recordDeparted } from './holders.js';
import type { DepartedEndpoint } from './holders.js';
import { isOutdated, isSameRecord, recordGone } from './recordOrder.js';
import type { GoneIncarnations } from './recordOrder.js';
import { addIndexed, createVersionIndex, notifyVersions, removeIndexed } from './versions.js';
import type { VersionIndex } from './versions.js';
import { assertNever } from '../../core/assertNever.js';
import type { Clock, Millis } from '../../core/clock.js';
import type { EndpointId } from '../../core/ids.js';
import { toStep } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';
import { NEW_ENDPOINT_HEALTH, observeAttempt } from '../../decisions/forwarding/endpointHealth.js';
import type {
  AttemptObservation,
  EndpointHealth,
} from '../../decisions/forwarding/endpointHealth.js';
import type { EndpointRecord } from '../../decisions/forwarding/types.js';
import type { GatewayEffect } from '../effects.js';
import type { MembershipEvent } from '../events.js';
import { isSameIncarnation, toIncarnation } from '../statements/incarnations.js';
import type { PhaseReport, RemovalCertainty } from '../types.js';

/** A registered endpoint, and its health as this daemon observed it. */
export interface KnownEndpoint {
  readonly record: EndpointRecord;
  readonly health: EndpointHealth;
  /** Instant at which this daemon received the newest registration. */
  readonly recordedAt: Millis;
  /** Instant at which this daemon learnt that the endpoint leaves; null while it is not leaving. */
  readonly leavingAt: Millis | null;
  /** Instant at which an uncertain removal was read; null while the registration is valid. */
  readonly removedAt: Millis | null;
}

/**
 * Endpoints, and data centres that are out of service. Only the `membership` child updates the
 * collections, in place.
 */
export interface MembershipState extends DataCentresState {
  readonly loaded: 'yes' | 'no';
  readonly endpoints: Map<EndpointId, KnownEndpoint>;
  readonly versions: VersionIndex;
  /**
   * Instants at which this daemon learnt of the removal of endpoints that were not reported as
   * leaving before; above `MAX_REMOVED_ENDPOINTS` the oldest is dropped.
   */
  readonly removed: Map<EndpointId, Millis>;
  readonly departed: Map<EndpointId, DepartedEndpoint>;
  readonly gone: GoneIncarnations;
}

/**
 * Lists the endpoints of which this daemon learnt since an instant that they leave or were removed.
 *
 * @param state - endpoints
 * @param since - earliest instant to include
 * @returns the ids of the endpoints
 */
export const listLeaving = (
  { endpoints, removed }: MembershipState,
  since: Millis,
): readonly EndpointId[] => [
  ...[...endpoints.values()]
    .filter(({ leavingAt }) => leavingAt !== null && leavingAt >= since)
    .map(({ record }) => record.id),
  ...[...removed].filter(([, removedAt]) => removedAt >= since).map(([id]) => id),
];

export interface MembershipInputs {
  readonly clock: Clock;
  readonly dataCentres: DataCentresState;
  readonly gone: GoneIncarnations;
  /** Lists the engines to poll for their state while their registrations may be stale. */
  readonly listPolledEngines: () => readonly EndpointId[];
  /** Reports whether an endpoint wants nothing from this daemon now, so that it is not polled. */
  readonly isResting: (endpoint: EndpointRecord) => boolean;
}

type Effects = GatewayEffect[];

const NEXT_REPORT_POLL: GatewayEffect = {
  kind: 'schedule',
  delayMs: REPORT_POLL_INTERVAL_MS,
  event: { to: 'membership', kind: 'report-poll-due' },
};

const describeEndpoint = (record: EndpointRecord, change: string): GatewayEffect => ({
  kind: 'log',
  name: 'endpoint-changed',
  details: {
    endpoint: record.id,
    dataCentre: record.dataCentre,
    data: { change, service: record.service, version: record.version, phase: record.phase },
  },
});

/**
 * Notifies the `requests` child and, through the `peers` child, the other daemons, which may read
 * the registration later.
 */
const notifyLeaving = (endpoint: EndpointId): Effects => [
  { kind: 'post', event: { to: 'requests', kind: 'endpoint-leaving', endpoint } },
  { kind: 'post', event: { to: 'peers', kind: 'report-changed' } },
];

const pruneEndpoint = (
  { departed, endpoints, gone, removed, versions }: MembershipState,
  known: KnownEndpoint,
  removal: RemovalCertainty['kind'],
  now: Millis,
) => {
  const { id } = known.record;
  endpoints.delete(id);
  removeIndexed(versions, known.record);
  recordDeparted(departed, known, now);
  recordGone(gone, known.record, removal === 'certain' ? 'ignored' : 'applied');
  // The other daemons already know of an endpoint that was reported as leaving.
  if (known.leavingAt === null) removed.set(id, now);
  const [oldest] = removed.keys();
  if (removed.size > MAX_REMOVED_ENDPOINTS && oldest !== undefined) removed.delete(oldest);
  return [describeEndpoint(known.record, 'removed'), ...notifyLeaving(id)];
};

/**
 * Reports whether the endpoint was recently reported as leaving. Such a report overrides a
 * registration, which may have been written before it. It expires, since it may come from an
 * earlier incarnation of the endpoint.
 */
const hasValidLeavingReport = (known: KnownEndpoint, now: Millis): boolean =>
  known.leavingAt !== null && now - known.leavingAt < LEAVING_REPORT_VALIDITY_MS;

const describeOutdated = ({ id, phase, sequence, startedAt }: EndpointRecord): GatewayEffect => ({
  kind: 'log',
  name: 'registration-outdated',
  details: {
    endpoint: id,
    data: { phase, sequence: sequence ?? 'none', startedAt: startedAt ?? 'none' },
  },
});

const registerEndpoint = (
  { endpoints, gone, versions }: MembershipState,
  registered: EndpointRecord,
  removals: RemovalCertainty,
  now: Millis,
): Effects => {
  const known = endpoints.get(registered.id);
  if (isOutdated(registered, known?.record, gone, removals)) return [describeOutdated(registered)];
  gone.delete(registered.id);
  const isNew = known === undefined || !isSameIncarnation(known.record, registered);
  const isLeaving =
    !isNew &&
    (hasValidLeavingReport(known, now) ||
      (known.record.phase === 'leaving' && isSameRecord(registered, known.record)));
  const record: EndpointRecord = isLeaving ? { ...registered, phase: 'leaving' } : registered;
  const health = isNew ? NEW_ENDPOINT_HEALTH : known.health;
  const leavingAt = record.phase === 'leaving' ? (known?.leavingAt ?? now) : null;
  if (record.phase === 'leaving') recordGone(gone, record, isLeaving ? 'ignored' : 'applied');
  addIndexed(versions, record, known?.record);
  endpoints.set(record.id, {
    record,
    health,
    recordedAt: now,
    leavingAt,
    removedAt: null,
  });
  if (isNew) return [describeEndpoint(record, 'registered')];
  if (known.record.phase === record.phase) return [];
  const leaving = record.phase === 'leaving' ? notifyLeaving(record.id) : [];
  return [describeEndpoint(record, 'phase'), ...leaving];
};

const isRemovalCertain = (
  { record, recordedAt }: KnownEndpoint,
  removals: RemovalCertainty,
): boolean => {
  switch (removals.kind) {
    case 'certain':
      return true;
    case 'uncertain':
      return record.phase === 'leaving' || recordedAt > removals.since;
    default:
      return assertNever(removals);
  }
};

/** Reports whether the removal is already due, after the newest outage or restore of the store. */
const hasPendingRemoval = ({ removedAt }: KnownEndpoint, removals: RemovalCertainty): boolean => {
  switch (removals.kind) {
    case 'certain':
      return false;
    case 'uncertain':
      return removedAt !== null && removedAt >= removals.since;
    default:
      return assertNever(removals);
  }
};

const removeEndpoint = (
  state: MembershipState,
  id: EndpointId,
  removals: RemovalCertainty,
  now: Millis,
): Effects => {
  const { endpoints } = state;
  const known = endpoints.get(id);
  if (known === undefined) return [];
  if (isRemovalCertain(known, removals)) return pruneEndpoint(state, known, 'certain', now);
  if (hasPendingRemoval(known, removals)) return [];
  endpoints.set(id, { ...known, removedAt: now });
  const until = removals.kind === 'uncertain' ? removals.until : now;
  return [
    {
      kind: 'schedule',
      delayMs: until - now,
      event: { to: 'membership', kind: 'removal-due', id, removedAt: now },
    },
  ];
};

const applyRegistrations = (
  state: MembershipState,
  event: Extract<MembershipEvent, { kind: 'registrations-changed' }>,
  now: Millis,
): Effects => {
  const effects: Effects = [];
  const present = new Set<EndpointId>();
  for (const change of event.changes) {
    if (change.kind === 'endpoint-registered') {
      present.add(change.record.id);
      effects.push(...registerEndpoint(state, change.record, event.removals, now));
    } else if (change.kind === 'endpoint-removed') {
      effects.push(...removeEndpoint(state, change.id, event.removals, now));
    } else if (change.kind === 'unreadable') {
      // Any client of the store may have written it; it does not show that the endpoint is gone.
      present.add(change.key);
    }
  }
  if (event.scope === 'changed') return effects;
  const missing = [...state.endpoints.keys()].filter((id) => !present.has(id));
  return [...effects, ...missing.flatMap((id) => removeEndpoint(state, id, event.removals, now))];
};

const applyObservation = (
  { endpoints }: MembershipState,
  id: EndpointId,
  observation: AttemptObservation,
  now: Millis,
): Effects => {
  const known = endpoints.get(id);
  if (known === undefined) return [];
  const health = observeAttempt(known.health, observation, now);
  endpoints.set(id, { ...known, health });
  const isAvoided =
    health.avoidUntil > now && known.health.avoidUntil <= now && observation.kind !== 'full';
  if (!isAvoided) return [];
  const data = {
    sign: observation.kind,
    failureRate: Math.round(health.failureRate * 100) / 100,
    forMs: Math.round(health.avoidUntil - now),
    recordAgeMs: Math.round(now - known.recordedAt),
  };
  return [{ kind: 'log', name: 'endpoint-avoided', details: { endpoint: id, data } }];
};

const applyDelayedRemoval = (
  state: MembershipState,
  id: EndpointId,
  removedAt: Millis,
  now: Millis,
): Effects => {
  const known = state.endpoints.get(id);
  if (known === undefined || known.removedAt !== removedAt) return [];
  return pruneEndpoint(state, known, 'uncertain', now);
};

const readReports = (
  { endpoints }: MembershipState,
  { isResting, listPolledEngines }: MembershipInputs,
): Effects =>
  listPolledEngines().flatMap((id): Effects => {
    const record = endpoints.get(id)?.record;
    return record === undefined || isResting(record)
      ? []
      : [{ kind: 'read-report', endpoint: toIncarnation(record) }];
  });

const applyReport = (
  { endpoints, gone }: MembershipState,
  id: EndpointId,
  { phase }: PhaseReport,
  now: Millis,
): Effects => {
  const known = endpoints.get(id);
  if (known === undefined || phase === 'ready' || known.record.phase === 'leaving') return [];
  const record = { ...known.record, phase };
  endpoints.set(id, { ...known, record, leavingAt: now });
  recordGone(gone, record, 'ignored');
  return [describeEndpoint(record, 'reported'), ...notifyLeaving(id)];
};

/**
 * Creates the decision logic of the `membership` child, which keeps the endpoints, their health as
 * observed by this daemon, and the data centres that operators took out of service.
 *
 * @param inputs - clock, data centres that are out, incarnations that left, and the engines to poll
 * @returns the decision logic
 */
export const createMembershipLogic = (
  inputs: MembershipInputs,
): ChildLogic<MembershipState, MembershipEvent, GatewayEffect> => ({
  init: () =>
    toStep<MembershipState, GatewayEffect>(
      {
        loaded: 'no',
        endpoints: new Map(),
        versions: createVersionIndex(),
        removed: new Map(),
        departed: new Map(),
        gone: inputs.gone,
        ...inputs.dataCentres,
      },
      NEXT_REPORT_POLL,
    ),
  decide: (state, event) => {
    const now = inputs.clock.now();
    switch (event.kind) {
      case 'registrations-changed':
        return {
          state: { ...state, loaded: 'yes' },
          effects: [...applyRegistrations(state, event, now), ...notifyVersions(state.versions)],
        };
      case 'data-centres-changed':
        return { state, effects: applyDataCentres(state, event, now) };
      case 'data-centre-hold-due':
        return { state, effects: endHold(state, event.dataCentre, event.heldAt) };
      case 'attempt-observed':
        return { state, effects: applyObservation(state, event.endpoint, event.observation, now) };
      case 'report-poll-due':
        return { state, effects: [...readReports(state, inputs), NEXT_REPORT_POLL] };
      case 'report-read':
        return { state, effects: applyReport(state, event.endpoint, event.report, now) };
      case 'removal-due':
        return {
          state,
          effects: [
            ...applyDelayedRemoval(state, event.id, event.removedAt, now),
            ...notifyVersions(state.versions),
          ],
        };
      default:
        return assertNever(event);
    }
  },
});
