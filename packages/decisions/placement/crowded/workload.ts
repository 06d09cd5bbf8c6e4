import type { Millis } from '../../../core/clock.js';
import type { RandomSource } from '../../../core/random.js';
import type { ClassTargets } from '../types.js';

/** A request class of the workload; its output lengths have a Lomax tail. */
interface WorkClass {
  readonly targets: ClassTargets;
  /** Share of all requests. */
  readonly share: number;
  readonly promptTokens: number;
  readonly minOutputTokens: number;
  readonly outputScaleTokens: number;
  readonly tailShape: number;
  /** Longest time that a request waits in a queue. */
  readonly maxWaitMs: Millis;
}

/** Request classes of a cash pooling application: lookups, summaries and long memos. */
export const WORK_CLASSES: readonly WorkClass[] = [
  {
    targets: { className: 'lookup', importance: 'critical', answerLength: 'short' },
    share: 0.6,
    promptTokens: 120,
    minOutputTokens: 5,
    outputScaleTokens: 20,
    tailShape: 4,
    maxWaitMs: 30_000,
  },
  {
    targets: { className: 'summary', importance: 'background', answerLength: 'short' },
    share: 0.15,
    promptTokens: 800,
    minOutputTokens: 40,
    outputScaleTokens: 200,
    tailShape: 3,
    maxWaitMs: 300_000,
  },
  {
    targets: { className: 'memo', importance: 'standard', answerLength: 'long' },
    share: 0.25,
    promptTokens: 600,
    minOutputTokens: 100,
    outputScaleTokens: 1_200,
    tailShape: 2.4,
    maxWaitMs: 600_000,
  },
];

/** Number of customers; the first two send half of the requests. */
const CUSTOMERS = 10;
const MAX_OUTPUT_TOKENS = 12_000;

/** A request with its actual output length, which is hidden from all decisions. */
export interface WorkItem {
  readonly requestId: string;
  readonly at: Millis;
  readonly entry: number;
  readonly customer: string;
  readonly work: WorkClass;
  readonly outputTokens: number;
}

const pickClass = (random: RandomSource): WorkClass => {
  let remainder = random.next();
  for (const work of WORK_CLASSES) {
    remainder -= work.share;
    if (remainder < 0) return work;
  }
  return WORK_CLASSES[0] as WorkClass;
};

const pickCustomer = (random: RandomSource): number =>
  random.next() < 0.5
    ? Math.floor(random.next() * 2)
    : 2 + Math.floor(random.next() * (CUSTOMERS - 2));

/** Samples an output length; its scale differs between customers by up to a factor of 4. */
const sampleOutput = (work: WorkClass, customer: number, random: RandomSource): number => {
  const scale = work.outputScaleTokens * 0.5 * 4 ** (customer / (CUSTOMERS - 1));
  const tail = scale * ((1 - random.next()) ** (-1 / work.tailShape) - 1);
  return Math.min(MAX_OUTPUT_TOKENS, Math.ceil(work.minOutputTokens + tail));
};

/**
 * Builds the requests of a run, with Poisson arrivals spread over the entry daemons.
 *
 * @param requestsPerSecond - total rate of all entry daemons
 * @param durationMs - length of the run
 * @param entries - number of entry daemons
 * @param random - source of randomness for arrivals and lengths
 * @returns requests in order of arrival
 */
export const buildWorkload = (
  requestsPerSecond: number,
  durationMs: Millis,
  entries: number,
  random: RandomSource,
): readonly WorkItem[] => {
  const items: WorkItem[] = [];
  let at = 0;
  while (at < durationMs) {
    at += (-1_000 * Math.log(1 - random.next())) / requestsPerSecond;
    const work = pickClass(random);
    const customer = pickCustomer(random);
    items.push({
      requestId: items.length.toString(),
      at,
      entry: Math.floor(random.next() * entries),
      customer: customer.toString(),
      work,
      outputTokens: sampleOutput(work, customer, random),
    });
  }
  return items;
};
