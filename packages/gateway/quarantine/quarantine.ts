import {
  MAX_OBSERVED_CRASHES,
  MAX_REMEMBERED_WRITES,
  MAX_STORED_CRASHES,
  REWRITE_SPREAD_MS,
  STORE_RETRY_MS,
} from './constants.js';
import type { QuarantineLoad } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { Clock, Millis } from '../../core/clock.js';
import type { RandomSource } from '../../core/random.js';
import { toStep } from '../../core/step.js';
import type { Step } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';
import {
  addCrash,
  addSurvival,
  createCrashEvidence,
  isQuarantined,
  selectSuspects,
} from '../../decisions/quarantine/crashEvidence.js';
import type { CrashEvidence, CrashReport } from '../../decisions/quarantine/crashEvidence.js';
import type { Fingerprint } from '../../decisions/quarantine/types.js';
import { CRASH_RETENTION_MS } from '../../decisions/quarantine/constants.js';
import type { GatewayEffect, QuarantineEvent } from '../events.js';
import { readCrashMessage, toCrashRow } from '../peers/crashReports.js';
import type { StoreEpoch } from '../types.js';

/** Crashes of endpoints by the contents of requests. Only the `quarantine` child updates it. */
export interface QuarantineState {
  readonly evidence: CrashEvidence;
  /** Endpoints whose crash this daemon observed itself, oldest first. */
  readonly observed: Set<string>;
  /** Newest writes of this daemon to the store, oldest first. */
  readonly writes: Map<Fingerprint, QuarantineWrite>;
  /** Epoch of the store to which the writes were repeated; null before the first restore. */
  readonly rewrittenEpoch: StoreEpoch;
}

/** Write of a quarantine or of its end. */
interface QuarantineWrite {
  readonly kind: 'saved' | 'removed';
  readonly at: Millis;
}

interface QuarantineInputs {
  readonly clock: Clock;
  readonly random: RandomSource;
}

/** How a daemon learnt of a quarantine. */
type QuarantineSource = 'own' | 'peer' | 'store';

const NOTIFY_PEERS: GatewayEffect = {
  kind: 'post',
  event: { to: 'peers', kind: 'report-changed' },
};

const describeQuarantine = (
  { evidence }: QuarantineState,
  fingerprint: Fingerprint,
  source: QuarantineSource,
): readonly GatewayEffect[] => [
  { kind: 'post', event: { to: 'requests', kind: 'content-quarantined' } },
  { kind: 'count', name: 'gateway_quarantined_total', labels: { source } },
  {
    kind: 'log',
    name: 'request-quarantined',
    details: {
      data: {
        fingerprint,
        source,
        endpoints: [...(evidence.byFingerprint.get(fingerprint) ?? [])].map(
          ({ endpoint }) => endpoint,
        ),
        survivals: evidence.survivals.has(fingerprint) ? 'some' : 'none',
      },
    },
  },
];

const addReports = (
  state: QuarantineState,
  reports: readonly CrashReport[],
  source: QuarantineSource,
  clock: Clock,
): readonly GatewayEffect[] => {
  const added = reports.flatMap((report) => addCrash(state.evidence, report, clock.now()));
  const [first] = added;
  if (first === undefined) return [];
  const described = added.flatMap((fingerprint) => describeQuarantine(state, fingerprint, source));
  return hasObserved(state, first)
    ? [...described, storeQuarantine(state, first, clock)]
    : described;
};

/**
 * Reports whether this daemon observed one of the crashes itself. Only such daemons store the
 * quarantine, and any of them may be the first to know of all crashes.
 */
const hasObserved = ({ evidence, observed }: QuarantineState, fingerprint: Fingerprint): boolean =>
  [...(evidence.byFingerprint.get(fingerprint) ?? [])].some(({ endpoint }) =>
    observed.has(endpoint),
  );

const recordWrite = (
  { writes }: QuarantineState,
  fingerprint: Fingerprint,
  write: QuarantineWrite,
): void => {
  writes.delete(fingerprint);
  writes.set(fingerprint, write);
  const [oldest] = writes.keys();
  if (writes.size > MAX_REMEMBERED_WRITES && oldest !== undefined) writes.delete(oldest);
};

const storeQuarantine = (
  state: QuarantineState,
  fingerprint: Fingerprint,
  clock: Clock,
): GatewayEffect => {
  const now = clock.now();
  const { evidence } = state;
  recordWrite(state, fingerprint, { kind: 'saved', at: now });
  const crashes = [...(evidence.byFingerprint.get(fingerprint) ?? [])]
    .slice(-MAX_STORED_CRASHES)
    .map((report) => toCrashRow(report, now));
  return { kind: 'save-quarantine', record: { fingerprint, crashes } };
};

const repeatSave = (
  state: QuarantineState,
  fingerprint: Fingerprint,
  clock: Clock,
): readonly GatewayEffect[] =>
  isQuarantined(state.evidence, fingerprint, clock.now())
    ? [storeQuarantine(state, fingerprint, clock)]
    : [];

const applyLoaded = (
  state: QuarantineState,
  result: QuarantineLoad,
  clock: Clock,
): readonly GatewayEffect[] => {
  if (result.kind === 'failed') {
    const event = { to: 'quarantine', kind: 'load-due' } as const;
    return [{ kind: 'schedule', delayMs: STORE_RETRY_MS, event }];
  }
  return result.records.flatMap(({ crashes, fingerprint }): readonly GatewayEffect[] => {
    const isExpired = crashes.every(([, , , ageMs]) => ageMs >= CRASH_RETENTION_MS);
    if (isExpired) return [{ kind: 'remove-quarantine', fingerprint }];
    const report = readCrashMessage({ crashes, survivals: [] }, clock.now());
    return addReports(state, report.crashes, 'store', clock);
  });
};

const removeQuarantine = (
  state: QuarantineState,
  fingerprint: Fingerprint,
  now: Millis,
): GatewayEffect => {
  recordWrite(state, fingerprint, { kind: 'removed', at: now });
  return { kind: 'remove-quarantine', fingerprint };
};

/** A survival ends the quarantine of its fingerprint. */
const recordSurvivals = (
  state: QuarantineState,
  fingerprints: readonly Fingerprint[],
  now: Millis,
): readonly GatewayEffect[] => {
  const { evidence } = state;
  const ended = fingerprints.filter(
    (fingerprint) => evidence.reports.size > 0 && isQuarantined(evidence, fingerprint, now),
  );
  for (const fingerprint of fingerprints) addSurvival(evidence, { fingerprint, at: now });
  return ended.map((fingerprint) => removeQuarantine(state, fingerprint, now));
};

const repeatRemoval = (
  state: QuarantineState,
  fingerprint: Fingerprint,
  now: Millis,
): readonly GatewayEffect[] =>
  isQuarantined(state.evidence, fingerprint, now)
    ? []
    : [removeQuarantine(state, fingerprint, now)];

const scheduleRewrite = (
  fingerprint: Fingerprint,
  { kind }: QuarantineWrite,
  delayMs: Millis,
): GatewayEffect => {
  switch (kind) {
    case 'saved':
      return {
        kind: 'schedule',
        delayMs,
        event: { to: 'quarantine', kind: 'save-due', fingerprint },
      };
    case 'removed':
      return {
        kind: 'schedule',
        delayMs,
        event: { to: 'quarantine', kind: 'remove-due', fingerprint },
      };
    default:
      return assertNever(kind);
  }
};

/**
 * Schedules that this daemon repeats its newest writes, which the store may have lost. Quarantines
 * do not outlast `CRASH_RETENTION_MS`, nor do the writes about them matter after it.
 */
const repeatWrites = (
  state: QuarantineState,
  epoch: StoreEpoch,
  { clock, random }: QuarantineInputs,
): Step<QuarantineState, GatewayEffect> => {
  const { rewrittenEpoch } = state;
  // Both feeds report the restore.
  if (epoch !== null && rewrittenEpoch !== null && epoch <= rewrittenEpoch) return toStep(state);
  const since = clock.now() - CRASH_RETENTION_MS;
  const recent = [...state.writes].filter(([, { at }]) => at > since);
  const timers = recent.map(([fingerprint, write]) =>
    scheduleRewrite(fingerprint, write, random.next() * REWRITE_SPREAD_MS),
  );
  const data = { epoch: epoch ?? 'none', writes: recent.length };
  const line: GatewayEffect = { kind: 'log', name: 'quarantines-rewritten', details: { data } };
  return {
    state: { ...state, rewrittenEpoch: epoch },
    effects: timers.length === 0 ? [] : [line, ...timers],
  };
};

const recordObserved = ({ observed }: QuarantineState, endpoint: string): void => {
  observed.add(endpoint);
  const [oldest] = observed;
  if (observed.size > MAX_OBSERVED_CRASHES && oldest !== undefined) observed.delete(oldest);
};

const recordOwnCrash = (
  state: QuarantineState,
  event: Extract<QuarantineEvent, { kind: 'crash-observed' }>,
  clock: Clock,
): readonly GatewayEffect[] => {
  const { endpoint, progress, requestId } = event;
  const at = clock.now();
  const content = selectSuspects(state.evidence, event.content, at);
  recordObserved(state, endpoint);
  return [
    {
      kind: 'log',
      name: 'request-suspected',
      details: {
        requestId,
        data: { endpoint, progress, whole: content.whole ?? '', parts: content.parts },
      },
    },
    ...addReports(state, [{ endpoint, progress, at, content }], 'own', clock),
    NOTIFY_PEERS,
  ];
};

/**
 * Creates the decision logic of the `quarantine` child, which finds the contents of requests on
 * which endpoints crash, from the crashes that this daemon and its peers observe.
 *
 * @param inputs - source of the instants of crashes, and random numbers that spread writes
 * @returns the decision logic
 */
export const createQuarantineLogic = ({
  clock,
  random,
}: QuarantineInputs): ChildLogic<QuarantineState, QuarantineEvent, GatewayEffect> => ({
  init: () =>
    toStep<QuarantineState, GatewayEffect>(
      {
        evidence: createCrashEvidence(),
        observed: new Set(),
        writes: new Map(),
        rewrittenEpoch: null,
      },
      { kind: 'load-quarantines' },
    ),
  decide: (state, event) => {
    switch (event.kind) {
      case 'crash-observed':
        return { state, effects: recordOwnCrash(state, event, clock) };
      case 'answer-observed':
        return { state, effects: recordSurvivals(state, event.fingerprints, clock.now()) };
      case 'crashes-reported': {
        for (const survival of event.survivals) addSurvival(state.evidence, survival);
        return { state, effects: addReports(state, event.crashes, 'peer', clock) };
      }
      case 'load-due':
        return { state, effects: [{ kind: 'load-quarantines' }] };
      case 'quarantines-loaded':
        return { state, effects: applyLoaded(state, event.result, clock) };
      case 'store-restored':
        return repeatWrites(state, event.epoch, { clock, random });
      case 'remove-due':
        return { state, effects: repeatRemoval(state, event.fingerprint, clock.now()) };
      case 'save-due':
        return { state, effects: repeatSave(state, event.fingerprint, clock) };
      default:
        return assertNever(event);
    }
  },
});
