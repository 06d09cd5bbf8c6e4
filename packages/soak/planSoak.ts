import {
  DATA_CENTRE_COUNT,
  ENGINE_COUNT,
  FAULT_GAP_MS,
  FIRST_STATING_SEED,
  GATEWAY_COUNT,
  LEDGER_COUNT,
  MAX_FAULT_MS,
  MAX_SILENCE_MS,
  MIN_CALL_TIMEOUT_MS,
  MIN_FAULT_MS,
  MIN_SILENCE_MS,
  MIN_STREAM_TIMEOUT_MS,
  SILENCE_GAP_MS,
} from './constants.js';
import { pickBetween, pickIndex, pickOne } from './draws.js';
import { planHostileCalls, planStatements } from './planStatements.js';
import type {
  LeaveNotice,
  LinkId,
  OperatorLimits,
  SoakProfile,
  StoreFaultMode,
  SystemFault,
  TimedFault,
} from './types.js';
import { assertNever } from '../core/assertNever.js';
import type { Millis } from '../core/clock.js';
import type { RandomSource } from '../core/random.js';
import { createSeededSource } from '../standins/common/seededSource.js';

type FaultKind = SystemFault['kind'];

type KindWeights = Readonly<Record<FaultKind, number>>;

/**
 * Relative frequency of each kind of fault. Silences have a random source of their own beside
 * disruptions, so that seeds from before them still give the same plans.
 */
const FAULT_WEIGHTS: KindWeights = {
  kill: 2,
  pause: 2,
  terminate: 3,
  reload: 1,
  link: 4,
  store: 2,
  'compact-store': 1,
  'worker-crash': 2,
  'worker-leave': 3,
  configure: 2,
  'revoke-key': 1,
  'data-centre-out': 1,
  'worker-silence': 0,
  'configure-series': 0,
  'restart-gateways': 0,
};

/** Relative frequency beside planned work alone. */
const PLANNED_WEIGHTS: KindWeights = {
  kill: 0,
  pause: 0,
  terminate: 0,
  reload: 2,
  link: 0,
  store: 0,
  'compact-store': 0,
  'worker-crash': 0,
  'worker-leave': 2,
  configure: 0,
  'revoke-key': 0,
  'data-centre-out': 0,
  'worker-silence': 6,
  'configure-series': 3,
  'restart-gateways': 2,
};

const IDLE_LIMITS_MS = [1_000, 2_000, 4_000, 6_000] as const;
const HEADER_LIMITS_MS = [500, 1_000, 3_000] as const;
const HEADER_LIMITS_BYTES = [4_096, 16_384] as const;
const BODY_LIMITS_BYTES = [1_000, 100_000] as const;
const TIMEOUT_FACTORS = [1, 1.2, 1.5] as const;
const MAX_SERIES = 5;
const MIN_SERIES_GAP_MS = 50;
const MAX_SERIES_GAP_MS = 400;
const MIN_RESTART_GAP_MS = 800;
const MAX_RESTART_GAP_MS = 3_500;

const LINK_MODES = ['delay', 'reset', 'silence', 'one-way'] as const;
const STORE_FAULT_MODES: readonly StoreFaultMode[] = ['busy', 'silent', 'reset'];

const pickKind = (random: RandomSource, weights: KindWeights): FaultKind => {
  const kinds = Object.entries(weights) as [FaultKind, number][];
  const total = kinds.reduce((sum, [, weight]) => sum + weight, 0);
  let remaining = random.next() * total;
  for (const [kind, weight] of kinds) {
    remaining -= weight;
    if (remaining < 0) return kind;
  }
  return 'configure';
};

const pickLink = (random: RandomSource): LinkId =>
  random.next() < 0.5
    ? { kind: 'store', gateway: pickIndex(random, GATEWAY_COUNT) }
    : { kind: 'worker', slot: pickIndex(random, ENGINE_COUNT + LEDGER_COUNT) };

const pickLimits = (random: RandomSource): OperatorLimits => ({
  idleTimeoutMs: pickOne(random, IDLE_LIMITS_MS),
  headerTimeoutMs: pickOne(random, HEADER_LIMITS_MS),
  maxHeaderBytes: pickOne(random, HEADER_LIMITS_BYTES),
  maxBodyBytes: pickOne(random, BODY_LIMITS_BYTES),
  callTimeoutMs: MIN_CALL_TIMEOUT_MS * pickOne(random, TIMEOUT_FACTORS),
  streamTimeoutMs: MIN_STREAM_TIMEOUT_MS * pickOne(random, TIMEOUT_FACTORS),
});

/** Picks a silence, of an engine in most cases, since streams meet it midway. */
const pickSilence = (random: RandomSource): SystemFault => ({
  kind: 'worker-silence',
  slot: pickIndex(random, random.next() < 0.6 ? ENGINE_COUNT : ENGINE_COUNT + LEDGER_COUNT),
  durationMs: pickBetween(random, MIN_SILENCE_MS, MAX_SILENCE_MS),
});

/** Picks one gateway, or all of them from one onwards. */
const pickGateways = (random: RandomSource, first: number): readonly number[] => {
  const count = random.next() < 0.5 ? 1 : GATEWAY_COUNT;
  return Array.from({ length: count }, (_, step) => (first + step) % GATEWAY_COUNT);
};

/** What a plan draws from. */
interface PlanShape {
  readonly weights: KindWeights;
  readonly notices: readonly [LeaveNotice, ...LeaveNotice[]];
  readonly meanGapMs: Millis;
}

const buildFault = (kind: FaultKind, random: RandomSource, { notices }: PlanShape): SystemFault => {
  const gateway = pickIndex(random, GATEWAY_COUNT);
  const slot = pickIndex(random, ENGINE_COUNT + LEDGER_COUNT);
  const durationMs = pickBetween(random, MIN_FAULT_MS, MAX_FAULT_MS);
  switch (kind) {
    case 'kill':
    case 'pause':
      return { kind, gateway, durationMs };
    case 'terminate':
    case 'reload':
      return { kind, gateway };
    case 'link':
      return { kind, link: pickLink(random), mode: pickOne(random, LINK_MODES), durationMs };
    case 'store':
      return { kind, mode: pickOne(random, STORE_FAULT_MODES as [StoreFaultMode]), durationMs };
    case 'worker-crash':
      return { kind, slot, durationMs };
    case 'worker-leave':
      return { kind, slot, notice: pickOne(random, notices), durationMs };
    case 'data-centre-out':
      return {
        kind,
        dataCentre: pickIndex(random, DATA_CENTRE_COUNT),
        durationMs: durationMs + MAX_FAULT_MS,
      };
    case 'worker-silence':
      return pickSilence(random);
    case 'configure-series':
      return {
        kind,
        versions: Array.from({ length: 1 + pickIndex(random, MAX_SERIES) }, () =>
          pickLimits(random),
        ),
        gapMs: pickBetween(random, MIN_SERIES_GAP_MS, MAX_SERIES_GAP_MS),
      };
    case 'restart-gateways':
      return {
        kind,
        gateways: pickGateways(random, gateway),
        gapMs: pickBetween(random, MIN_RESTART_GAP_MS, MAX_RESTART_GAP_MS),
      };
    case 'compact-store':
    case 'configure':
    case 'revoke-key':
      return { kind };
    default:
      return assertNever(kind);
  }
};

/**
 * Factors of the mean gap, one of which applies to a whole plan. Time limits can only be checked
 * between faults that are far apart.
 */
const GAP_FACTORS = [1, 3, 6] as const;

/** Those of planned work, whose lost requests are found without pauses. */
const PLANNED_GAP_FACTORS = [1, 2] as const;

const planKinds = (
  random: RandomSource,
  durationMs: Millis,
  shape: PlanShape,
): readonly TimedFault[] => {
  const faults: TimedFault[] = [];
  let at = FAULT_GAP_MS;
  while (at < durationMs) {
    faults.push({ at, fault: buildFault(pickKind(random, shape.weights), random, shape) });
    // A third of the faults follow within 60 ms of the previous one.
    const isBurst = random.next() < 0.33;
    at += Math.round(isBurst ? random.next() * 60 : random.next() * 2 * shape.meanGapMs);
  }
  return faults;
};

const planSilences = (random: RandomSource, durationMs: Millis): readonly TimedFault[] => {
  const silences: TimedFault[] = [];
  let at = random.next() * 2 * SILENCE_GAP_MS;
  while (at < durationMs) {
    silences.push({ at: Math.round(at), fault: pickSilence(random) });
    at += random.next() * 2 * SILENCE_GAP_MS;
  }
  return silences;
};

const planSystemFaults = (
  seed: number,
  durationMs: Millis,
  profile: SoakProfile,
): readonly TimedFault[] => {
  switch (profile) {
    case 'faults': {
      const random = createSeededSource(seed, 'faults');
      const faults = planKinds(random, durationMs, {
        weights: FAULT_WEIGHTS,
        notices: ['told', 'untold'],
        meanGapMs: FAULT_GAP_MS * pickOne(random, GAP_FACTORS),
      });
      const silences = planSilences(createSeededSource(seed, 'silences'), durationMs);
      return [...faults, ...silences];
    }
    case 'planned': {
      const random = createSeededSource(seed, 'planned work');
      return planKinds(random, durationMs, {
        weights: PLANNED_WEIGHTS,
        notices: ['told'],
        meanGapMs: FAULT_GAP_MS * pickOne(random, PLANNED_GAP_FACTORS),
      });
    }
    default:
      return assertNever(profile);
  }
};

/**
 * Plans the faults of a soak. Faults come in bursts and overlap.
 *
 * @param seed - seed of the whole plan
 * @param durationMs - time in which faults begin
 * @param profile - what is injected
 * @returns the faults in the order of their start
 */
export const planSoak = (
  seed: number,
  durationMs: Millis,
  profile: SoakProfile,
): readonly TimedFault[] =>
  [
    ...planSystemFaults(seed, durationMs, profile),
    ...(seed < FIRST_STATING_SEED
      ? []
      : [...planStatements(seed, durationMs, profile), ...planHostileCalls(seed, durationMs)]),
  ].sort((first, second) => first.at - second.at);
