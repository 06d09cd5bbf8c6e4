import {
  UNCERTAIN_REMOVAL_DELAY_MS,
  LEAVING_REPORT_VALIDITY_MS,
  MAX_REMOVED_ENDPOINTS,
  REPORT_POLL_INTERVAL_MS,
} from './constants.js';
import { assertNever } from '../../core/assertNever.js';
import type { Clock, Millis } from '../../core/clock.js';
import type { DataCentreId, EndpointId } from '../../core/ids.js';
import { toStep } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';
import { NEW_ENDPOINT_HEALTH, observeAttempt } from '../../decisions/forwarding/endpointHealth.js';
import type {
  AttemptObservation,
  EndpointHealth,
} from '../../decisions/forwarding/endpointHealth.js';
import type { EndpointRecord } from '../../decisions/forwarding/types.js';
import type { GatewayEffect, MembershipEvent } from '../events.js';
import type { EngineReport, RecordChange, RemovalCertainty } from '../types.js';

/** One endpoint with what this daemon has seen of it. */
export interface KnownEndpoint {
  readonly record: EndpointRecord;
  readonly health: EndpointHealth;
  readonly recordedAt: Millis;
  /** Instant at which it was learnt to leave; null while it stays. */
  readonly leavingAt: Millis | null;
  /** Instant of a removal that is held back; null while the registration stands. */
  readonly removedAt: Millis | null;
}

/** Endpoints and data centres; the maps are updated in place by this child alone. */
export interface MembershipState {
  readonly loaded: 'yes' | 'no';
  readonly endpoints: Map<EndpointId, KnownEndpoint>;
  /** Instants at which removed endpoints were learnt to be gone; the oldest are dropped. */
  readonly removed: Map<EndpointId, Millis>;
  readonly dataCentresOut: Set<DataCentreId>;
}

/**
 * Lists the endpoints that were learnt to leave or to be gone since an instant.
 *
 * @param state - endpoints
 * @param since - instant
 * @returns their ids
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
  /** Engines whose state is asked for, since the store does not tell it now. */
  readonly listPolledEngines: () => readonly EndpointId[];
}

type Effects = GatewayEffect[];

const NEXT_REPORT_POLL: GatewayEffect = {
  kind: 'schedule',
  delayMs: REPORT_POLL_INTERVAL_MS,
  event: { to: 'membership', kind: 'reports-due' },
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

/** The other daemons may read of it later. */
const notifyLeaving = (endpoint: EndpointId): Effects => [
  { kind: 'post', event: { to: 'requests', kind: 'endpoint-leaving', endpoint } },
  { kind: 'post', event: { to: 'peers', kind: 'report-changed' } },
];

const pruneEndpoint = (
  { endpoints, removed }: MembershipState,
  known: KnownEndpoint,
  now: Millis,
) => {
  const { id } = known.record;
  endpoints.delete(id);
  // One that was announced as leaving is known to the others.
  if (known.leavingAt === null) removed.set(id, now);
  const [oldest] = removed.keys();
  if (removed.size > MAX_REMOVED_ENDPOINTS && oldest !== undefined) removed.delete(oldest);
  return [describeEndpoint(known.record, 'removed'), ...notifyLeaving(id)];
};

const isNewIncarnation = (known: KnownEndpoint, record: EndpointRecord): boolean =>
  known.record.startedAt !== record.startedAt ||
  known.record.address.host !== record.address.host ||
  known.record.address.port !== record.address.port;

/**
 * A registration that was written before an engine reported that it leaves does not take the report
 * back. A report may be that of an earlier life, so it does not hold for good.
 */
const hasValidLeavingReport = (known: KnownEndpoint, now: Millis): boolean =>
  known.leavingAt !== null && now - known.leavingAt < LEAVING_REPORT_VALIDITY_MS;

const registerEndpoint = (
  { endpoints }: MembershipState,
  registered: EndpointRecord,
  now: Millis,
): Effects => {
  const known = endpoints.get(registered.id);
  const isNew = known === undefined || isNewIncarnation(known, registered);
  const isLeaving = !isNew && hasValidLeavingReport(known, now);
  const record: EndpointRecord = isLeaving ? { ...registered, phase: 'leaving' } : registered;
  const health = isNew ? NEW_ENDPOINT_HEALTH : known.health;
  const leavingAt = record.phase === 'leaving' ? (known?.leavingAt ?? now) : null;
  endpoints.set(record.id, { record, health, recordedAt: now, leavingAt, removedAt: null });
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

const removeEndpoint = (
  state: MembershipState,
  id: EndpointId,
  removals: RemovalCertainty,
  now: Millis,
): Effects => {
  const { endpoints } = state;
  const known = endpoints.get(id);
  if (known === undefined) return [];
  if (isRemovalCertain(known, removals)) return pruneEndpoint(state, known, now);
  if (known.removedAt !== null) return [];
  endpoints.set(id, { ...known, removedAt: now });
  return [
    {
      kind: 'schedule',
      delayMs: UNCERTAIN_REMOVAL_DELAY_MS,
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
      effects.push(...registerEndpoint(state, change.record, now));
    } else if (change.kind === 'endpoint-removed') {
      effects.push(...removeEndpoint(state, change.id, event.removals, now));
    }
  }
  if (event.scope === 'changed') return effects;
  const missing = [...state.endpoints.keys()].filter((id) => !present.has(id));
  return [...effects, ...missing.flatMap((id) => removeEndpoint(state, id, event.removals, now))];
};

const describeDataCentre = (dataCentre: DataCentreId, change: 'out' | 'in'): GatewayEffect => ({
  kind: 'log',
  name: 'data-centre-changed',
  details: { dataCentre, data: { change } },
});

const applyDataCentres = (
  { dataCentresOut }: MembershipState,
  changes: readonly RecordChange[],
  scope: 'all' | 'changed',
): Effects => {
  const effects: Effects = [];
  const ordered = new Set<DataCentreId>();
  for (const change of changes) {
    if (change.kind === 'data-centre-out') {
      ordered.add(change.dataCentre);
      if (!dataCentresOut.has(change.dataCentre))
        effects.push(describeDataCentre(change.dataCentre, 'out'));
      dataCentresOut.add(change.dataCentre);
    } else if (change.kind === 'data-centre-in' && dataCentresOut.delete(change.dataCentre)) {
      effects.push(describeDataCentre(change.dataCentre, 'in'));
    }
  }
  if (scope === 'changed') return effects;
  for (const dataCentre of [...dataCentresOut].filter((name) => !ordered.has(name))) {
    dataCentresOut.delete(dataCentre);
    effects.push(describeDataCentre(dataCentre, 'in'));
  }
  return effects;
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
  return pruneEndpoint(state, known, now);
};

const readReports = ({ endpoints }: MembershipState, polled: readonly EndpointId[]): Effects =>
  polled.flatMap((endpoint): Effects => {
    const address = endpoints.get(endpoint)?.record.address;
    return address === undefined ? [] : [{ kind: 'read-report', endpoint, address }];
  });

const applyReport = (
  { endpoints }: MembershipState,
  id: EndpointId,
  { phase }: EngineReport,
  now: Millis,
): Effects => {
  const known = endpoints.get(id);
  if (known === undefined || phase === 'ready' || known.record.phase === 'leaving') return [];
  const record = { ...known.record, phase };
  endpoints.set(id, { ...known, record, leavingAt: now });
  return [describeEndpoint(record, 'reported'), ...notifyLeaving(id)];
};

/**
 * Creates the child that keeps the endpoints, their health as this daemon saw it, and the data
 * centres that operators took out.
 *
 * @param inputs - clock, and the engines to watch
 * @returns the decisions of the child
 */
export const createMembershipLogic = ({
  clock,
  listPolledEngines,
}: MembershipInputs): ChildLogic<MembershipState, MembershipEvent, GatewayEffect> => ({
  init: () =>
    toStep<MembershipState, GatewayEffect>(
      { loaded: 'no', endpoints: new Map(), removed: new Map(), dataCentresOut: new Set() },
      NEXT_REPORT_POLL,
    ),
  decide: (state, event) => {
    const now = clock.now();
    switch (event.kind) {
      case 'registrations-changed':
        return {
          state: { ...state, loaded: 'yes' },
          effects: applyRegistrations(state, event, now),
        };
      case 'data-centres-changed':
        return { state, effects: applyDataCentres(state, event.changes, event.scope) };
      case 'attempt-observed':
        return { state, effects: applyObservation(state, event.endpoint, event.sign, now) };
      case 'reports-due':
        return { state, effects: [...readReports(state, listPolledEngines()), NEXT_REPORT_POLL] };
      case 'report-read':
        return { state, effects: applyReport(state, event.endpoint, event.report, now) };
      case 'removal-due':
        return { state, effects: applyDelayedRemoval(state, event.id, event.removedAt, now) };
      default:
        return assertNever(event);
    }
  },
});
