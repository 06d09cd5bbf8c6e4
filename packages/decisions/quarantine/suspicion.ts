import {
  APPEND_RETRY_MS,
  CORRELATED_WINDOW_MS,
  LOSSES_TO_QUARANTINE,
  MAX_COMPLETED,
  MAX_ENDPOINTS_BEFORE_COMPLETION,
  MAX_HELD_REQUESTS,
  MAX_PART_SETS,
  MAX_QUARANTINED,
  MAX_SUSPECTS,
  MIN_CORRELATED_LOSSES,
  QUARANTINE_DURATION_MS,
  SUSPECT_TTL_MS,
} from './constants.js';
import {
  addAttempt,
  formatEndpointIncarnation,
  listAttemptsAt,
  listEndpointsOf,
  removeAttempt,
} from './inFlight.js';
import type {
  Attempt,
  Fingerprint,
  HeldRequest,
  PlacementRule,
  RequestContent,
  SuspicionEffect,
  SuspicionEvent,
  SuspicionState,
} from './types.js';
import {
  addCrash,
  addSurvival,
  createCrashEvidence,
  listSuspectedSets,
  selectSuspects,
} from './crashEvidence.js';
import { formatPartSet, hasQuarantinedParts, isPartSet } from './partSets.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import type { RequestId } from '../../core/ids.js';
import { toStep } from '../../core/step.js';
import type { Step } from '../../core/step.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';

type SuspicionStep = Step<SuspicionState, SuspicionEffect>;

/**
 * Creates the state of an entry daemon without suspects.
 *
 * @returns a state with empty tables
 */
export const initSuspicion = (): SuspicionState => ({
  attempts: new Map(),
  byFingerprint: new Map(),
  byEndpoint: new Map(),
  answered: new Set(),
  suspects: new Map(),
  partEvidence: createCrashEvidence(),
  partSets: new Set(),
  quarantined: new Map(),
  completed: new Set(),
  isolatedRequest: null,
  isolationEndpoint: null,
  held: [],
  recentLosses: [],
});

const createQuarantineFailure = (): Failure =>
  createFailure('not-run', 'quarantined', 'requests with this content crashed endpoints');

const isQuarantined = (state: SuspicionState, fingerprint: Fingerprint, now: Millis): boolean =>
  (state.quarantined.get(fingerprint)?.expiresAt ?? 0) > now;

/**
 * Checks where a request may be placed. The rule is valid until the next event, so the caller
 * reports the attempt as started before it checks another request.
 *
 * @param state - suspects, quarantines and attempts in flight
 * @param content - fingerprints of the request's content
 * @param now - current instant
 * @returns the placement rule
 */
export const checkPlacement = (
  state: SuspicionState,
  content: RequestContent,
  now: Millis,
): PlacementRule => {
  const fingerprint = content.whole;
  if (isQuarantined(state, fingerprint, now) || hasQuarantinedParts(state, content.parts, now)) {
    return { kind: 'refuse', failure: createQuarantineFailure() };
  }
  if (state.suspects.has(fingerprint)) {
    const isFree = state.isolatedRequest === null && !state.byFingerprint.has(fingerprint);
    return isFree ? { kind: 'isolated', endpoint: state.isolationEndpoint } : { kind: 'hold' };
  }
  if (!state.completed.has(fingerprint)) {
    const endpoints = listEndpointsOf(state, fingerprint);
    if (endpoints.length >= MAX_ENDPOINTS_BEFORE_COMPLETION) return { kind: 'only', endpoints };
  }
  return {
    kind: 'anywhere',
    avoid: state.isolatedRequest === null ? null : state.isolationEndpoint,
  };
};

/** Drops the oldest entries of a table that exceeds its capacity. */
const pruneTable = (
  table: {
    readonly size: number;
    readonly keys: () => Iterator<Fingerprint>;
    readonly delete: (key: Fingerprint) => boolean;
  },
  capacity: number,
): void => {
  while (table.size > capacity) {
    const oldest = table.keys().next();
    if (oldest.done === true) return;
    table.delete(oldest.value);
  }
};

const isPlaceable = (state: SuspicionState, { fingerprint }: HeldRequest): boolean =>
  !state.suspects.has(fingerprint) ||
  (state.isolatedRequest === null && !state.byFingerprint.has(fingerprint));

/** Releases all held requests that are no longer suspects, and one suspect if none is running. */
const releaseHeld = (step: SuspicionStep): SuspicionStep => {
  const { state } = step;
  const ready = state.held.filter((held) => isPlaceable(state, held));
  if (ready.length === 0) return step;
  const next = ready.find(({ fingerprint }) => state.suspects.has(fingerprint));
  const placed = ready.filter((held) => held === next || !state.suspects.has(held.fingerprint));
  const effects = placed.map(({ requestId }) => ({ kind: 'place-held', requestId }) as const);
  const held = state.held.filter((request) => !placed.includes(request));
  return toStep({ ...state, held }, ...step.effects, ...effects);
};

const clearSuspect = (
  state: SuspicionState,
  fingerprint: Fingerprint,
): readonly SuspicionEffect[] =>
  state.suspects.delete(fingerprint) ? [{ kind: 'suspect-cleared', fingerprint }] : [];

const recordCompleted = (state: SuspicionState, fingerprint: Fingerprint): void => {
  state.completed.delete(fingerprint);
  state.completed.add(fingerprint);
  pruneTable(state.completed, MAX_COMPLETED);
};

const startAttempt = (state: SuspicionState, attempt: Attempt): SuspicionStep => {
  addAttempt(state, attempt);
  if (!state.suspects.has(attempt.fingerprint)) return toStep(state);
  return toStep({
    ...state,
    isolatedRequest: attempt.requestId,
    isolationEndpoint: attempt.endpoint,
  });
};

const finishAttempt = (
  state: SuspicionState,
  event: Extract<SuspicionEvent, { readonly kind: 'attempt-ended' }>,
): SuspicionStep => {
  const attempt = removeAttempt(state, event.requestId);
  if (attempt === undefined) return toStep(state);
  const isolatedRequest = state.isolatedRequest === event.requestId ? null : state.isolatedRequest;
  const next = { ...state, isolatedRequest };
  if (event.outcome !== 'completed') return releaseHeld(toStep(next));
  recordCompleted(state, attempt.fingerprint);
  return releaseHeld(toStep(next, ...clearSuspect(state, attempt.fingerprint)));
};

const refuseHeld = ({ requestId }: HeldRequest, failure: Failure): SuspicionEffect => ({
  kind: 'refuse-held',
  requestId,
  failure,
});

const addHeld = (state: SuspicionState, request: HeldRequest): SuspicionStep => {
  if (state.held.length >= MAX_HELD_REQUESTS) {
    const message = 'too many requests wait to run in isolation after a crash';
    return toStep(state, refuseHeld(request, createFailure('not-run', 'overloaded', message)));
  }
  const { requestId, fingerprint } = request;
  return releaseHeld(toStep({ ...state, held: [...state.held, { requestId, fingerprint }] }));
};

const removeHeld = (state: SuspicionState, requestId: RequestId): SuspicionStep =>
  toStep({ ...state, held: state.held.filter((held) => held.requestId !== requestId) });

const addQuarantine = (
  state: SuspicionState,
  fingerprint: Fingerprint,
  expiresAt: Millis,
  record: 'pending' | 'logged',
  now: Millis,
): SuspicionStep => {
  state.suspects.delete(fingerprint);
  state.completed.delete(fingerprint);
  state.quarantined.delete(fingerprint);
  state.quarantined.set(fingerprint, { expiresAt, record, appendRequestedAt: now });
  if (isPartSet(fingerprint)) state.partSets.add(fingerprint);
  pruneTable(state.partSets, MAX_PART_SETS);
  pruneTable(state.quarantined, MAX_QUARANTINED);
  const refused = state.held.filter((held) => held.fingerprint === fingerprint);
  const held = state.held.filter((request) => request.fingerprint !== fingerprint);
  const failure = createQuarantineFailure();
  return toStep({ ...state, held }, ...refused.map((request) => refuseHeld(request, failure)));
};

const addLoss = (
  state: SuspicionState,
  fingerprint: Fingerprint,
  event: Extract<SuspicionEvent, { readonly kind: 'endpoint-lost' }>,
): SuspicionStep => {
  const { now, cause } = event;
  const id = formatEndpointIncarnation(event);
  const known = state.suspects.get(fingerprint);
  const isKnownLoss = known?.losses.some((loss) => loss.id === id) === true;
  if (isKnownLoss || isQuarantined(state, fingerprint, now)) return toStep(state);
  const losses = [...(known?.losses ?? []), { id, cause }];
  if (losses.length >= LOSSES_TO_QUARANTINE) {
    const expiresAt = now + QUARANTINE_DURATION_MS;
    const step = addQuarantine(state, fingerprint, expiresAt, 'pending', now);
    const append = { kind: 'append-quarantine', fingerprint, expiresAt } as const;
    return toStep<SuspicionState, SuspicionEffect>(step.state, append, ...step.effects);
  }
  state.suspects.set(fingerprint, { losses, since: now });
  pruneTable(state.suspects, MAX_SUSPECTS);
  return toStep(state, { kind: 'suspect-added', fingerprint });
};

/**
 * Counts a crash against the prompt parts of the requests that the endpoint had not begun to answer,
 * and quarantines the sets of parts that reach the limit.
 */
const addPartCrashes = (
  state: SuspicionState,
  attempts: readonly Attempt[],
  { now, ...endpointIncarnation }: Extract<SuspicionEvent, { readonly kind: 'endpoint-lost' }>,
): SuspicionStep => {
  const endpoint = formatEndpointIncarnation(endpointIncarnation);
  const unanswered = attempts.filter(
    ({ parts, requestId }) => parts.length > 0 && !state.answered.has(requestId),
  );
  const added = unanswered.flatMap(({ parts }) => {
    const content = selectSuspects(state.partEvidence, { whole: null, parts }, now);
    const report = { endpoint, progress: 'waiting', at: now, content } as const;
    return addCrash(state.partEvidence, report, now);
  });
  const sets = listSuspectedSets(state.partEvidence, added).map(formatPartSet);
  let step: SuspicionStep = toStep(state);
  for (const fingerprint of sets) {
    const expiresAt = now + QUARANTINE_DURATION_MS;
    const next = addQuarantine(step.state, fingerprint, expiresAt, 'pending', now);
    const append = { kind: 'append-quarantine', fingerprint, expiresAt } as const;
    step = toStep<SuspicionState, SuspicionEffect>(
      next.state,
      ...step.effects,
      append,
      ...next.effects,
    );
  }
  return step;
};

const recordAnswer = (
  state: SuspicionState,
  { now, requestId }: Extract<SuspicionEvent, { readonly kind: 'attempt-answered' }>,
): SuspicionStep => {
  const attempt = state.attempts.get(requestId);
  if (attempt === undefined || state.answered.has(requestId)) return toStep(state);
  state.answered.add(requestId);
  for (const fingerprint of attempt.parts) {
    addSurvival(state.partEvidence, { fingerprint, at: now });
  }
  return toStep(state);
};

/**
 * Clears the suspects of correlated losses: when many endpoints are lost at once, the cause is
 * shared and not a request on each of them. A crash never counts as correlated.
 */
const clearCorrelatedSuspects = (state: SuspicionState): readonly SuspicionEffect[] => {
  if (state.recentLosses.length < MIN_CORRELATED_LOSSES) return [];
  const recent = new Set(state.recentLosses.map((loss) => loss.id));
  return [...state.suspects]
    .filter(([, suspect]) =>
      suspect.losses.every((loss) => loss.cause === 'lost' && recent.has(loss.id)),
    )
    .flatMap(([fingerprint]) => clearSuspect(state, fingerprint));
};

const trackLoss = (
  state: SuspicionState,
  event: Extract<SuspicionEvent, { readonly kind: 'endpoint-lost' }>,
): SuspicionState => {
  const id = formatEndpointIncarnation(event);
  const recent = state.recentLosses.filter(
    (loss) => loss.at > event.now - CORRELATED_WINDOW_MS && loss.id !== id,
  );
  const recentLosses = event.cause === 'lost' ? [...recent, { id, at: event.now }] : recent;
  return { ...state, recentLosses };
};

const handleLoss = (
  state: SuspicionState,
  event: Extract<SuspicionEvent, { readonly kind: 'endpoint-lost' }>,
): SuspicionStep => {
  const attempts = listAttemptsAt(state, event);
  const parted: SuspicionStep =
    event.cause === 'crash' ? addPartCrashes(state, attempts, event) : toStep(state);
  for (const { requestId } of attempts) removeAttempt(state, requestId);
  const fingerprints = new Set([
    ...attempts.map((attempt) => attempt.fingerprint),
    ...event.reported,
  ]);
  const isIsolatedLost = attempts.some((attempt) => attempt.requestId === state.isolatedRequest);
  const { isolationEndpoint } = state;
  let step: SuspicionStep = toStep<SuspicionState, SuspicionEffect>(
    {
      ...trackLoss(parted.state, event),
      isolatedRequest: isIsolatedLost ? null : state.isolatedRequest,
      isolationEndpoint: isolationEndpoint === event.endpoint ? null : isolationEndpoint,
    },
    ...parted.effects,
  );
  for (const fingerprint of fingerprints) {
    const next = addLoss(step.state, fingerprint, event);
    step = toStep(next.state, ...step.effects, ...next.effects);
  }
  return releaseHeld(toStep(step.state, ...step.effects, ...clearCorrelatedSuspects(step.state)));
};

const expireEntries = (state: SuspicionState, now: Millis): SuspicionStep => {
  const effects: SuspicionEffect[] = [];
  for (const [fingerprint, { expiresAt, record, appendRequestedAt }] of state.quarantined) {
    if (expiresAt <= now) {
      state.quarantined.delete(fingerprint);
      state.partSets.delete(fingerprint);
    } else if (record === 'pending' && now - appendRequestedAt >= APPEND_RETRY_MS) {
      state.quarantined.set(fingerprint, { expiresAt, record, appendRequestedAt: now });
      effects.push({ kind: 'append-quarantine', fingerprint, expiresAt });
    }
  }
  for (const [fingerprint, { since }] of state.suspects) {
    const isIdle = !state.byFingerprint.has(fingerprint);
    if (isIdle && now - since >= SUSPECT_TTL_MS) effects.push(...clearSuspect(state, fingerprint));
  }
  return releaseHeld(toStep(state, ...effects));
};

/**
 * Decides one event about requests that may crash endpoints.
 *
 * @param state - state before the event; its tables are updated in place
 * @param event - an attempt, a held request, a loss, a quarantine record or a tick
 * @returns the next state, with records to append and held requests to place or refuse
 */
export const decideSuspicion = (state: SuspicionState, event: SuspicionEvent): SuspicionStep => {
  switch (event.kind) {
    case 'attempt-started':
      return startAttempt(state, event);
    case 'attempt-ended':
      return finishAttempt(state, event);
    case 'attempt-answered':
      return recordAnswer(state, event);
    case 'held':
      return addHeld(state, event);
    case 'abandoned':
      return removeHeld(state, event.requestId);
    case 'endpoint-lost':
      return handleLoss(state, event);
    case 'quarantine-record':
      return event.expiresAt <= event.now
        ? toStep(state)
        : addQuarantine(state, event.fingerprint, event.expiresAt, 'logged', event.now);
    case 'tick':
      return expireEntries(state, event.now);
    default:
      return assertNever(event);
  }
};
