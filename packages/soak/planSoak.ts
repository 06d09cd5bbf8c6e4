import {
  DATA_CENTRE_COUNT,
  ENGINE_COUNT,
  FAULT_GAP_MS,
  GATEWAY_COUNT,
  LEDGER_COUNT,
  MAX_FAULT_MS,
  MIN_FAULT_MS,
} from './constants.js';
import type { LinkId, SoakFault, StoreFaultMode, TimedFault } from './types.js';
import { assertNever } from '../core/assertNever.js';
import type { Millis } from '../core/clock.js';
import type { RandomSource } from '../core/random.js';
import { createSeededSource } from '../standins/common/seededSource.js';

type FaultKind = SoakFault['kind'];

/** Relative frequency of each kind of fault. */
const FAULT_WEIGHTS: Readonly<Record<FaultKind, number>> = {
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
};

const LINK_MODES = ['delay', 'reset', 'silence', 'one-way'] as const;
const STORE_FAULT_MODES: readonly StoreFaultMode[] = ['busy', 'silent', 'reset'];

const pickIndex = (random: RandomSource, count: number): number =>
  Math.min(count - 1, Math.floor(random.next() * count));

const pickOne = <Item>(random: RandomSource, items: readonly [Item, ...Item[]]): Item =>
  items[pickIndex(random, items.length)] ?? items[0];

const pickDuration = (random: RandomSource): Millis =>
  Math.round(MIN_FAULT_MS + random.next() * (MAX_FAULT_MS - MIN_FAULT_MS));

const pickKind = (random: RandomSource): FaultKind => {
  const kinds = Object.entries(FAULT_WEIGHTS) as [FaultKind, number][];
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

const buildFault = (kind: FaultKind, random: RandomSource): SoakFault => {
  const gateway = pickIndex(random, GATEWAY_COUNT);
  const slot = pickIndex(random, ENGINE_COUNT + LEDGER_COUNT);
  const durationMs = pickDuration(random);
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
      return { kind, slot, notice: random.next() < 0.5 ? 'told' : 'untold', durationMs };
    case 'data-centre-out':
      return {
        kind,
        dataCentre: pickIndex(random, DATA_CENTRE_COUNT),
        durationMs: durationMs + MAX_FAULT_MS,
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

/**
 * Plans the faults of a soak. Faults come in bursts and overlap.
 *
 * @param seed - seed of the whole plan
 * @param durationMs - time in which faults begin
 * @returns the faults in the order of their start
 */
export const planSoak = (seed: number, durationMs: Millis): readonly TimedFault[] => {
  const random = createSeededSource(seed, 'faults');
  const faults: TimedFault[] = [];
  const gapMs = FAULT_GAP_MS * pickOne(random, GAP_FACTORS);
  let at = FAULT_GAP_MS;
  while (at < durationMs) {
    faults.push({ at, fault: buildFault(pickKind(random), random) });
    // A third of the faults follow within 60 ms of the previous one.
    const isBurst = random.next() < 0.33;
    at += Math.round(isBurst ? random.next() * 60 : random.next() * 2 * gapMs);
  }
  return faults;
};
