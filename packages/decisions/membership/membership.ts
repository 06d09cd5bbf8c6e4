import {
  BACKLOG_AFTER_PAUSE_MS,
  REMOVE_AFTER_MS,
  GONE_AFTER_MS,
  SUSPECT_AFTER_MS,
} from './constants.js';
import type {
  Eligibility,
  EndpointEntry,
  EndpointPhase,
  Heartbeat,
  ListedInstance,
  MembershipEffect,
  MembershipEvent,
  MembershipState,
} from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import type { EndpointId } from '../../core/ids.js';
import { toStep } from '../../core/step.js';
import type { Step } from '../../core/step.js';

type MembershipStep<Report> = Step<MembershipState<Report>, MembershipEffect>;

/**
 * Creates the membership of an entry daemon that has just started.
 *
 * @returns a state without endpoints
 */
export const initMembership = <Report>(): MembershipState<Report> => ({
  endpoints: new Map(),
  dataCentresOut: new Set(),
  configurationOffset: -1,
  backlogUntil: 0,
});

const resolvePhase = <Report>(entry: EndpointEntry<Report>, now: Millis): EndpointPhase => {
  const silenceMs = now - entry.lastSeenAt;
  if (silenceMs >= GONE_AFTER_MS) return 'gone';
  if (entry.newest === null) return 'starting';
  if (silenceMs >= SUSPECT_AFTER_MS) return 'suspect';
  return entry.listed === 'leaving' ? 'draining' : entry.newest.phase;
};

/** Stores an entry with its phase and reports a change of the phase. */
const updateEntry = <Report>(
  state: MembershipState<Report>,
  entry: EndpointEntry<Report>,
  phase: EndpointPhase,
): readonly MembershipEffect[] => {
  const from = state.endpoints.get(entry.endpoint)?.phase ?? null;
  state.endpoints.set(entry.endpoint, entry.phase === phase ? entry : { ...entry, phase });
  if (from === phase) return [];
  const incarnation = entry.newest?.incarnation ?? null;
  return [{ kind: 'phase-changed', endpoint: entry.endpoint, incarnation, from, to: phase }];
};

const compareHeartbeats = <Report>(
  known: Heartbeat<Report> | null,
  heartbeat: Heartbeat<Report>,
): 'newer' | 'older-incarnation' | 'older-sequence' => {
  if (known === null || heartbeat.incarnation > known.incarnation) return 'newer';
  if (heartbeat.incarnation < known.incarnation) return 'older-incarnation';
  return heartbeat.sequence > known.sequence ? 'newer' : 'older-sequence';
};

const handleHeartbeat = <Report>(
  state: MembershipState<Report>,
  heartbeat: Heartbeat<Report>,
  now: Millis,
): MembershipStep<Report> => {
  const { endpoint, dataCentre, incarnation, sequence } = heartbeat;
  const known = state.endpoints.get(endpoint);
  const order = compareHeartbeats(known?.newest ?? null, heartbeat);
  if (order !== 'newer')
    return toStep(state, { kind: 'heartbeat-ignored', endpoint, reason: order });
  const entry: EndpointEntry<Report> = {
    endpoint,
    dataCentre,
    phase: known?.phase ?? 'starting',
    listed: known?.listed ?? 'unlisted',
    newest: heartbeat,
    lastSeenAt: now,
  };
  const isBacklog = now < state.backlogUntil;
  const changes = updateEntry(state, entry, isBacklog ? 'suspect' : resolvePhase(entry, now));
  const older = known?.newest?.incarnation;
  const replaced: readonly MembershipEffect[] =
    older === undefined || older === incarnation
      ? []
      : [{ kind: 'incarnation-replaced', endpoint, older, newer: incarnation }];
  return toStep<MembershipState<Report>, MembershipEffect>(state, ...replaced, ...changes, {
    kind: 'acknowledge',
    endpoint,
    incarnation,
    sequence,
  });
};

/** Resolves the phase without a new heartbeat: a suspect endpoint stays suspect or becomes gone. */
const resolveSilentPhase = <Report>(entry: EndpointEntry<Report>, now: Millis): EndpointPhase => {
  const phase = resolvePhase(entry, now);
  return entry.phase === 'suspect' && phase !== 'gone' ? 'suspect' : phase;
};

const applyInstanceList = <Report>(
  state: MembershipState<Report>,
  instances: readonly ListedInstance[],
  now: Millis,
): MembershipStep<Report> => {
  const effects: MembershipEffect[] = [];
  const listed = new Map(instances.map((instance) => [instance.endpoint, instance]));
  for (const entry of state.endpoints.values()) {
    const next = { ...entry, listed: listed.get(entry.endpoint)?.state ?? 'unlisted' } as const;
    effects.push(...updateEntry(state, next, resolveSilentPhase(next, now)));
  }
  for (const instance of instances) {
    if (state.endpoints.has(instance.endpoint)) continue;
    const { endpoint, dataCentre } = instance;
    const entry: EndpointEntry<Report> = {
      endpoint,
      dataCentre,
      phase: 'starting',
      listed: instance.state,
      newest: null,
      lastSeenAt: now,
    };
    effects.push(...updateEntry(state, entry, 'starting'));
  }
  return toStep(state, ...effects);
};

const removeEntry = <Report>(
  state: MembershipState<Report>,
  entry: EndpointEntry<Report>,
): readonly MembershipEffect[] => {
  state.endpoints.delete(entry.endpoint);
  return [{ kind: 'forgotten', endpoint: entry.endpoint }];
};

const expireEntries = <Report>(
  state: MembershipState<Report>,
  now: Millis,
): MembershipStep<Report> => {
  const effects: MembershipEffect[] = [];
  for (const entry of state.endpoints.values()) {
    const isExpired = entry.listed === 'unlisted' && now - entry.lastSeenAt >= REMOVE_AFTER_MS;
    if (isExpired) effects.push(...removeEntry(state, entry));
    else effects.push(...updateEntry(state, entry, resolveSilentPhase(entry, now)));
  }
  return toStep(state, ...effects);
};

const handlePause = <Report>(
  state: MembershipState<Report>,
  now: Millis,
): MembershipStep<Report> => {
  const effects: MembershipEffect[] = [];
  for (const entry of state.endpoints.values()) {
    const phase = entry.phase === 'gone' || entry.newest === null ? entry.phase : 'suspect';
    effects.push(...updateEntry(state, entry, phase));
  }
  return toStep({ ...state, backlogUntil: now + BACKLOG_AFTER_PAUSE_MS }, ...effects);
};

/**
 * Decides one event of an entry daemon's membership. Heartbeats determine the phase of an endpoint;
 * the instance list only adds endpoints and marks them as leaving.
 *
 * @param state - membership before the event; its table is updated in place
 * @param event - heartbeat, instance list, configuration, pause or tick
 * @returns the next state and the changes to act on
 */
export const decideMembership = <Report>(
  state: MembershipState<Report>,
  event: MembershipEvent<Report>,
): MembershipStep<Report> => {
  switch (event.kind) {
    case 'heartbeat':
      return handleHeartbeat(state, event.heartbeat, event.now);
    case 'instance-list':
      return applyInstanceList(state, event.instances, event.now);
    case 'configuration': {
      if (event.offset <= state.configurationOffset) return toStep(state);
      const dataCentresOut = new Set(event.dataCentresOut);
      return toStep({ ...state, dataCentresOut, configurationOffset: event.offset });
    }
    case 'process-paused':
      return handlePause(state, event.now);
    case 'tick':
      return expireEntries(state, event.now);
    default:
      return assertNever(event);
  }
};

/**
 * Checks whether an endpoint may receive new work. The time since its last heartbeat is computed
 * for the given instant, so that an endpoint that became suspect receives no work when a tick is
 * late.
 *
 * @param state - membership
 * @param endpoint - endpoint to check
 * @param now - current instant
 * @returns `eligible`, or the reason why not
 */
export const checkEligibility = <Report>(
  state: MembershipState<Report>,
  endpoint: EndpointId,
  now: Millis,
): Eligibility => {
  const entry = state.endpoints.get(endpoint);
  if (entry === undefined) return 'unknown';
  if (state.dataCentresOut.has(entry.dataCentre)) return 'data-centre-out';
  const phase = resolveSilentPhase(entry, now);
  switch (phase) {
    case 'ramping':
    case 'serving':
      return 'eligible';
    case 'starting':
    case 'draining':
    case 'suspect':
    case 'gone':
      return phase;
    default:
      return assertNever(phase);
  }
};

/**
 * Lists the endpoints that may receive new work.
 *
 * @param state - membership
 * @param now - current instant
 * @returns entries that have a heartbeat, in the order in which the endpoints became known
 */
export const listEligible = <Report>(
  state: MembershipState<Report>,
  now: Millis,
): readonly EndpointEntry<Report>[] =>
  [...state.endpoints.values()].filter(
    (entry) => checkEligibility(state, entry.endpoint, now) === 'eligible',
  );
