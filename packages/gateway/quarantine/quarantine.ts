import {
  MAX_OBSERVED_CRASHES,
  MAX_STORED_CRASHES,
  REWRITE_SPREAD_MS,
  STORE_RETRY_MS,
} from './constants.js';
import type { QuarantineLoad, QuarantineRecord } from './types.js';
import { buildWrittenEvidence, recordWrite } from './writes.js';
import type { QuarantineWrite, QuarantineWrites } from './writes.js';
import { assertNever } from '../../core/assertNever.js';
import type { Clock, Millis } from '../../core/clock.js';
import type { RandomSource } from '../../core/random.js';
import { toStep } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';
import {
  addCrash,
  addSurvival,
  isQuarantined,
  selectSuspects,
} from '../../decisions/quarantine/crashEvidence.js';
import type { CrashEvidence } from '../../decisions/quarantine/crashEvidence.js';
import type { CrashReport } from '../../decisions/quarantine/types.js';
import type { Fingerprint } from '../../decisions/quarantine/types.js';
import { CRASH_RETENTION_MS } from '../../decisions/quarantine/constants.js';
import type { GatewayEffect } from '../effects.js';
import type { QuarantineEvent } from '../events.js';
import { readCrashMessage, toCrashRow } from '../peers/crashReports.js';
import type { StoreEpoch } from '../types.js';

/** Crashes of endpoints by the contents of requests. Only the `quarantine` child updates it. */
export interface QuarantineState {
  readonly evidence: CrashEvidence;
  /** Endpoints whose crash this daemon observed itself, oldest first. */
  readonly observed: Set<string>;
  readonly writes: QuarantineWrites;
}

interface QuarantineInputs {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly writes: QuarantineWrites;
}

/** How a daemon learnt of a quarantine. */
type QuarantineSource = 'own' | 'peer' | 'store';

const NOTIFY_PEERS: GatewayEffect = {
  kind: 'post',
  event: { to: 'peers', kind: 'report-changed' },
};

/** Lets the requests that wait be checked, once for all that was quarantined in one decision. */
const CHECK_REQUESTS: GatewayEffect = {
  kind: 'post',
  event: { to: 'requests', kind: 'content-quarantined' },
};

/** One line for all fingerprints that a crash put into quarantine; a request has one for each part. */
const describeQuarantine = (
  { evidence }: QuarantineState,
  added: readonly Fingerprint[],
  first: Fingerprint,
  source: QuarantineSource,
): readonly GatewayEffect[] => [
  { kind: 'count', name: 'gateway_quarantined_total', labels: { source } },
  {
    kind: 'log',
    name: 'request-quarantined',
    details: {
      data: {
        fingerprint: first,
        fingerprints: added.length,
        source,
        endpoints: [...(evidence.byFingerprint.get(first) ?? [])].map(({ endpoint }) => endpoint),
        survivals: evidence.survivals.has(first) ? 'some' : 'none',
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
  let stored: Fingerprint | null = null;
  const described = reports.flatMap((report) => {
    const added = addCrash(state.evidence, report, clock.now());
    const [first] = added;
    if (first === undefined) return [];
    stored ??= first;
    return describeQuarantine(state, added, first, source);
  });
  if (stored === null) return [];
  const saved = hasObserved(state, stored) ? [storeQuarantine(state, stored, clock)] : [];
  return [CHECK_REQUESTS, ...described, ...saved];
};

/**
 * Reports whether this daemon observed one of the crashes itself. Only such daemons store the
 * quarantine, and any of them may be the first to know of all crashes.
 */
const hasObserved = ({ evidence, observed }: QuarantineState, fingerprint: Fingerprint): boolean =>
  [...(evidence.byFingerprint.get(fingerprint) ?? [])].some(({ endpoint }) =>
    observed.has(endpoint),
  );

const storeQuarantine = (
  state: QuarantineState,
  fingerprint: Fingerprint,
  clock: Clock,
): GatewayEffect => {
  const now = clock.now();
  const { evidence, writes } = state;
  const reports = [...(evidence.byFingerprint.get(fingerprint) ?? [])].slice(-MAX_STORED_CRASHES);
  recordWrite(writes, fingerprint, { kind: 'saved', at: now, reports });
  const crashes = reports.map((report) => toCrashRow(report, now));
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
  const now = clock.now();
  const isExpired = ({ crashes }: QuarantineRecord): boolean =>
    crashes.every(([, , , ageMs]) => ageMs >= CRASH_RETENTION_MS);
  const expired = result.records.filter(isExpired).map(({ fingerprint }) => fingerprint);
  const reports = result.records
    .filter((record) => !isExpired(record))
    .flatMap(({ crashes }) => readCrashMessage({ crashes, survivals: [] }, now).crashes);
  return [...removeRecords(expired), ...addReports(state, reports, 'store', clock)];
};

/** Removes what may be stored under these fingerprints, in one call of the store. */
const removeRecords = (fingerprints: readonly Fingerprint[]): readonly GatewayEffect[] =>
  fingerprints.length === 0 ? [] : [{ kind: 'remove-quarantines', fingerprints }];

/**
 * Removes quarantines. A quarantine is stored under the first of its fingerprints or one that was
 * written before, so the removal of only these has to be remembered.
 */
const removeQuarantines = (
  { writes }: QuarantineState,
  fingerprints: readonly Fingerprint[],
  now: Millis,
): readonly GatewayEffect[] => {
  const [first] = fingerprints;
  for (const fingerprint of fingerprints) {
    if (fingerprint === first || writes.byFingerprint.has(fingerprint))
      recordWrite(writes, fingerprint, { kind: 'removed', at: now });
  }
  return removeRecords(fingerprints);
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
  return removeQuarantines(state, ended, now);
};

const repeatRemoval = (
  state: QuarantineState,
  fingerprint: Fingerprint,
  now: Millis,
): readonly GatewayEffect[] =>
  isQuarantined(state.evidence, fingerprint, now)
    ? []
    : removeQuarantines(state, [fingerprint], now);

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
  { writes }: QuarantineState,
  epoch: StoreEpoch,
  { clock, random }: QuarantineInputs,
): readonly GatewayEffect[] => {
  const { byFingerprint, repeatedEpoch } = writes;
  // Both feeds report the restore.
  if (epoch !== null && repeatedEpoch !== null && epoch <= repeatedEpoch) return [];
  writes.repeatedEpoch = epoch;
  const since = clock.now() - CRASH_RETENTION_MS;
  const recent = [...byFingerprint].filter(([, { at }]) => at > since);
  if (recent.length === 0) return [];
  const data = { epoch: epoch ?? 'none', writes: recent.length };
  return [
    { kind: 'log', name: 'quarantines-rewritten', details: { data } },
    ...recent.map(([fingerprint, write]) =>
      scheduleRewrite(fingerprint, write, random.next() * REWRITE_SPREAD_MS),
    ),
  ];
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
 * @param inputs - source of the instants of crashes, random numbers that spread writes, and the writes
 *   of this process
 * @returns the decision logic
 */
export const createQuarantineLogic = ({
  clock,
  random,
  writes,
}: QuarantineInputs): ChildLogic<QuarantineState, QuarantineEvent, GatewayEffect> => ({
  init: () =>
    toStep<QuarantineState, GatewayEffect>(
      {
        evidence: buildWrittenEvidence(writes, clock.now()),
        observed: new Set(),
        writes,
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
        return { state, effects: repeatWrites(state, event.epoch, { clock, random, writes }) };
      case 'remove-due':
        return { state, effects: repeatRemoval(state, event.fingerprint, clock.now()) };
      case 'save-due':
        return { state, effects: repeatSave(state, event.fingerprint, clock) };
      default:
        return assertNever(event);
    }
  },
});
