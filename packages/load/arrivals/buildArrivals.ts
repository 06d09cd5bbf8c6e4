import { sampleLength } from './sampleLength.js';
import type { Arrival, Work } from './types.js';
import type { LoadClass, LoadCustomer, LoadPhase, Scenario } from '../scenario/types.js';
import { createSeededSource } from '../../standins/common/seededSource.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import type { RandomSource } from '../../core/random.js';

/** Part of the run with a constant arrival rate. */
interface RatePeriod {
  readonly fromMs: Millis;
  readonly untilMs: Millis;
  readonly perSecond: number;
}

const MAX_AMOUNT_CENTS = 1_000_000;

const listPeriods = (
  loadClass: LoadClass,
  phases: readonly LoadPhase[],
  durationMs: Millis,
): readonly RatePeriod[] => {
  const ends = [...phases, { name: 'rest', untilMs: durationMs, rates: {} }].filter(
    ({ untilMs }, index, all) => index === 0 || untilMs > (all[index - 1] as LoadPhase).untilMs,
  );
  return ends.map(({ untilMs, rates }, index) => ({
    fromMs: index === 0 ? 0 : (ends[index - 1] as LoadPhase).untilMs,
    untilMs: Math.min(untilMs, durationMs),
    perSecond: loadClass.arrivalsPerSecond * (rates[loadClass.name] ?? 1),
  }));
};

/** Samples the times of a Poisson process. It is memoryless, so periods are sampled separately. */
const sampleTimes = (period: RatePeriod, random: RandomSource): readonly Millis[] => {
  if (period.perSecond <= 0) return [];
  const times: Millis[] = [];
  let at = period.fromMs;
  for (;;) {
    at += (-Math.log(1 - random.next()) / period.perSecond) * 1_000;
    if (at >= period.untilMs) return times;
    times.push(at);
  }
};

const pickCustomer = (customers: readonly LoadCustomer[], random: RandomSource): string => {
  const total = customers.reduce((sum, { share }) => sum + share, 0);
  let remaining = random.next() * total;
  for (const { id, share } of customers) {
    remaining -= share;
    if (remaining < 0) return id;
  }
  return (customers.at(-1) as LoadCustomer).id;
};

const sampleWork = (loadClass: LoadClass, random: RandomSource): Work => {
  switch (loadClass.kind) {
    case 'generation':
      return {
        kind: 'generation',
        model: loadClass.model,
        route: loadClass.route,
        delivery: loadClass.targets.delivery,
        prefix: Math.floor(random.next() * loadClass.prefixes),
        promptTokens: sampleLength(loadClass.prompt, random),
        outputTokens: sampleLength(loadClass.output, random),
      };
    case 'lookup': {
      const account = `account-${Math.floor(random.next() * loadClass.accounts).toString()}`;
      return { kind: 'lookup', service: loadClass.service, account };
    }
    case 'execution': {
      const amount = Math.floor(random.next() * MAX_AMOUNT_CENTS);
      return { kind: 'execution', service: loadClass.service, route: loadClass.route, amount };
    }
    default:
      return assertNever(loadClass);
  }
};

/**
 * Generates all arrivals of a run in advance. The arrival times depend only on the scenario and its
 * seed, not on response times: a slow system must not reduce the load that reveals its slowness.
 *
 * @param scenario - classes, customers, phases and seed
 * @returns the arrivals, sorted by time
 */
export const buildArrivals = (scenario: Scenario): readonly Arrival[] => {
  const { classes, customers, phases, durationMs, seed } = scenario;
  const arrivals = classes.flatMap((loadClass) => {
    const random = createSeededSource(seed, `arrivals of ${loadClass.name}`);
    const times = listPeriods(loadClass, phases, durationMs).flatMap((period) =>
      sampleTimes(period, random),
    );
    return times.map((atMs) => ({
      atMs,
      className: loadClass.name,
      customer: pickCustomer(customers, random),
      work: sampleWork(loadClass, random),
    }));
  });
  return arrivals
    .sort((left, right) => left.atMs - right.atMs)
    .map((arrival, number) => ({ number, ...arrival }));
};
