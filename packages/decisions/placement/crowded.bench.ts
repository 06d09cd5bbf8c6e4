import { build } from 'hdr-histogram-js';
import { DEFAULT_PLACEMENT_POLICY } from './constants.js';
import { runCluster } from './crowded/cluster.js';
import type { ClusterOptions, ClusterResult, RequestOutcome, Variant } from './crowded/cluster.js';
import { buildWorkload } from './crowded/workload.js';
import type { WorkItem } from './crowded/workload.js';
import type { Millis } from '../../core/clock.js';
import { createRandomSource } from '../../core/random.js';
import { DEFAULT_ADMISSION_SETTINGS } from '../admission/constants.js';
import type { AdmissionSettings } from '../admission/types.js';

const WARM_UP_MS = 400_000;
const MEASURED_MS = 600_000;
const CALIBRATION_MS = 300_000;
const SEEDS: readonly number[] = [1, 2];
/** Offered load as a share of all engines' memory: the targeted 90%, and a fully loaded cluster. */
const LOAD_SHARES: readonly number[] = [0.9, 1];
const OPTIONS: ClusterOptions = { engines: 6, memoryTokens: 40_000, entries: 3, seed: 0 };

/** Accepts token gaps up to the target of 53 ms, since a batch slows down as it grows. */
const ADMISSION: AdmissionSettings = { ...DEFAULT_ADMISSION_SETTINGS, acceptedGapMs: 53 };
const LIMIT_ONLY: AdmissionSettings = { ...ADMISSION, memoryBound: 'none' };

/**
 * Baselines with the concurrency limit alone, a baseline that differs from the last variant only in
 * the choice of endpoint, and the policy under test.
 */
const VARIANTS: readonly Variant[] = [
  {
    name: 'round-robin',
    policy: { kind: 'round-robin' },
    admission: LIMIT_ONLY,
    priorities: 'none',
  },
  {
    name: 'least-requests',
    policy: { kind: 'least-requests' },
    admission: LIMIT_ONLY,
    priorities: 'none',
  },
  {
    name: 'least-requests with priorities and predicted admission',
    policy: { kind: 'least-requests' },
    admission: ADMISSION,
    priorities: 'by-class',
  },
  {
    name: 'predicted-headroom',
    policy: DEFAULT_PLACEMENT_POLICY,
    admission: ADMISSION,
    priorities: 'by-class',
  },
];

const buildItems = (rate: number, seed: number): readonly WorkItem[] =>
  buildWorkload(rate, WARM_UP_MS + MEASURED_MS, OPTIONS.entries, createRandomSource(seed));

const runVariant = (
  variant: Variant,
  rate: number,
  seed: number,
  measuredMs: Millis,
  memoryTokens: number,
): ClusterResult =>
  runCluster(
    variant,
    { ...OPTIONS, memoryTokens, seed },
    buildItems(rate, seed),
    WARM_UP_MS,
    WARM_UP_MS + measuredMs,
  );

/** Finds the request rate at which mean demand for unlimited memory is the given share. */
const findRate = (share: number): number => {
  const targetTokens = share * OPTIONS.engines * OPTIONS.memoryTokens;
  const settings = { ...LIMIT_ONLY, startLimit: 100_000, maxLimit: 100_000, maxUnconfirmed: 1e6 };
  const unlimited: Variant = {
    name: 'unlimited',
    policy: { kind: 'round-robin' },
    admission: { ...settings, collapseFactor: 1e6, coldFactor: 1e6 },
    priorities: 'none',
  };
  let rate = 16;
  for (let attempt = 0; attempt < 3; attempt += 1) {
    const demand = runVariant(unlimited, rate, 99, CALIBRATION_MS, 1e9).meanMemoryTokens;
    rate *= targetTokens / demand;
  }
  return rate;
};

const measureFirstTokens = (outcomes: readonly RequestOutcome[]) => {
  const histogram = build({ highestTrackableValue: 3_600_000, numberOfSignificantValueDigits: 3 });
  for (const outcome of outcomes) {
    if (outcome.firstTokenMs !== undefined) histogram.recordValue(Math.round(outcome.firstTokenMs));
  }
  return {
    p50Ms: histogram.getValueAtPercentile(50),
    p99Ms: histogram.getValueAtPercentile(99),
  };
};

const sumValues = (values: readonly number[]): number =>
  values.reduce((left, right) => left + right, 0);

const measureClass = (result: ClusterResult, className: string) => {
  const outcomes = result.outcomes.filter(
    (outcome) => outcome.item.work.targets.className === className && outcome.item.at >= WARM_UP_MS,
  );
  const finished = outcomes.flatMap((outcome) => outcome.sequence ?? []);
  return {
    finished: finished.length,
    refused: outcomes.length - finished.length,
    firstToken: measureFirstTokens(outcomes),
    preemptions: sumValues(finished.map((sequence) => sequence.preemptions)),
    stallSeconds: Math.round(sumValues(finished.map((sequence) => sequence.stallMs)) / 1_000),
  };
};

const measureVariant = (variant: Variant, rate: number, seed: number) => {
  const result = runVariant(variant, rate, seed, MEASURED_MS, OPTIONS.memoryTokens);
  return {
    variant: variant.name,
    seed,
    meanMemoryShare: Number(
      (result.meanMemoryTokens / (OPTIONS.engines * OPTIONS.memoryTokens)).toFixed(3),
    ),
    lookup: measureClass(result, 'lookup'),
    summary: measureClass(result, 'summary'),
    memo: measureClass(result, 'memo'),
  };
};

for (const share of LOAD_SHARES) {
  const requestsPerSecond = findRate(share);
  console.log(JSON.stringify({ bench: 'crowded', ...OPTIONS, share, requestsPerSecond }));
  for (const seed of SEEDS) {
    for (const variant of VARIANTS) {
      console.log(JSON.stringify(measureVariant(variant, requestsPerSecond, seed)));
    }
  }
}
