import { countCachedTokens, findCachedTokens, pruneCache, updateRecency } from './prefixCache.js';
import type { CacheChange, PrefixCache } from './prefixCache.js';
import type { EngineSettings, Sequence } from '../types.js';
import type { Millis } from '../../../core/clock.js';

type BatchSettings = Pick<
  EngineSettings,
  | 'memoryTokens'
  | 'maxRunning'
  | 'prefillTokensPerStep'
  | 'cachedPrefixTokens'
  | 'stepBaseMs'
  | 'stepPerSequenceMs'
  | 'prefillMsPerToken'
>;

/** Sequences and prefix cache of the engine. */
export interface Batch {
  /** Sequences that use memory, in order of admission. */
  readonly running: readonly Sequence[];
  /** Sequences that use no memory, in scheduling order. */
  readonly waiting: readonly Sequence[];
  readonly cache: PrefixCache;
}

/** Planned step with its duration. */
export interface PlannedStep {
  readonly batch: Batch;
  readonly preempted: readonly Sequence[];
  /** Prefixes that the plan evicted from the cache. */
  readonly changes: readonly CacheChange[];
  readonly durationMs: Millis;
}

/** Result of a finished step. */
export interface StepResult {
  readonly batch: Batch;
  /** Sequences that produced a token, including that token. */
  readonly emitted: readonly Sequence[];
  readonly finished: readonly Sequence[];
  /** Prefixes that the step added to the cache. */
  readonly changes: readonly CacheChange[];
  /** Total time from preemption to the next token, of the sequences that resumed in this step. */
  readonly stalledMs: Millis;
}

/**
 * Compares two sequences by scheduling order: lower priority value first, then earlier arrival.
 *
 * @param left - a sequence
 * @param right - another sequence
 * @returns a negative number if the left sequence runs first
 */
export const compareUrgency = (left: Sequence, right: Sequence): number =>
  left.priority - right.priority || left.arrival - right.arrival;

/**
 * Counts the memory that running sequences use.
 *
 * @param running - sequences in the batch
 * @returns tokens
 */
export const countUsedTokens = (running: readonly Sequence[]): number =>
  running.reduce((sum, { promptTokens, generated }) => sum + promptTokens + generated, 0);

const findLeastUrgent = (running: readonly Sequence[]): Sequence | undefined =>
  [...running].sort(compareUrgency).at(-1);

/**
 * Adds a sequence to the waiting ones, in scheduling order.
 *
 * @param batch - batch before the addition
 * @param sequence - sequence that uses no memory
 * @returns the batch with the sequence
 */
export const addWaiting = (batch: Batch, sequence: Sequence): Batch => {
  const position = batch.waiting.findIndex((other) => compareUrgency(sequence, other) < 0);
  const index = position === -1 ? batch.waiting.length : position;
  return { ...batch, waiting: batch.waiting.toSpliced(index, 0, sequence) };
};

/** Step while it is being planned. */
interface StepDraft {
  readonly batch: Batch;
  readonly preempted: readonly Sequence[];
  readonly changes: readonly CacheChange[];
}

const releaseCache = (draft: StepDraft, neededTokens: number): StepDraft => {
  const { cache, evicted } = pruneCache(draft.batch.cache, neededTokens);
  const changes = evicted.map(({ prefix }) => ({ kind: 'evicted', prefix }) as const);
  return { ...draft, batch: { ...draft.batch, cache }, changes: [...draft.changes, ...changes] };
};

const releaseSequence = (draft: StepDraft, victim: Sequence, now: Millis): StepDraft => {
  const { stalledSince } = victim;
  const stalled: Sequence = {
    ...victim,
    prefillLeft: 0,
    stalledSince: stalledSince === 'not-stalled' ? now : stalledSince,
  };
  const running = draft.batch.running.filter((sequence) => sequence !== victim);
  const batch = addWaiting({ ...draft.batch, running }, stalled);
  return { ...draft, batch, preempted: [...draft.preempted, stalled] };
};

const countMissingTokens = (batch: Batch, neededTokens: number, memoryTokens: number): number =>
  countUsedTokens(batch.running) + countCachedTokens(batch.cache) + neededTokens - memoryTokens;

/**
 * Frees memory for the next token of each running sequence: evicts cached prefixes first, then
 * preempts sequences.
 */
const releaseForGrowth = (start: StepDraft, settings: BatchSettings, now: Millis): StepDraft => {
  let draft = start;
  for (;;) {
    const { running, cache } = draft.batch;
    const missing = countMissingTokens(draft.batch, running.length, settings.memoryTokens);
    if (missing <= 0) return draft;
    const victim = findLeastUrgent(running);
    if (cache.length > 0) draft = releaseCache(draft, missing);
    else if (victim !== undefined && running.length > 1)
      draft = releaseSequence(draft, victim, now);
    else return draft;
  }
};

const admitSequence = (
  draft: StepDraft,
  sequence: Sequence,
  settings: BatchSettings,
): StepDraft => {
  const { batch } = draft;
  const usedTokens = sequence.promptTokens + sequence.generated;
  const cachedTokens = Math.min(
    findCachedTokens(batch.cache, sequence.prefix),
    sequence.promptTokens,
  );
  const admitted = {
    ...sequence,
    cachedTokens,
    prefillLeft: Math.max(1, usedTokens - cachedTokens),
  };
  const recent = {
    ...draft,
    batch: { ...batch, cache: updateRecency(batch.cache, sequence.prefix) },
  };
  const needed = usedTokens + batch.running.length + 1;
  const freed = releaseCache(recent, countMissingTokens(batch, needed, settings.memoryTokens));
  return {
    ...freed,
    batch: {
      ...freed.batch,
      running: [...freed.batch.running, admitted],
      waiting: freed.batch.waiting.filter((other) => other !== sequence),
    },
  };
};

const hasCapacity = (batch: Batch, sequence: Sequence, settings: BatchSettings): boolean => {
  if (batch.running.length >= settings.maxRunning) return false;
  const needed = sequence.promptTokens + sequence.generated + batch.running.length + 1;
  return countUsedTokens(batch.running) + needed <= settings.memoryTokens;
};

/** Admits waiting sequences in order; preempts sequences of lower priority to free memory. */
const admitWaiting = (start: StepDraft, settings: BatchSettings, now: Millis): StepDraft => {
  let draft = start;
  for (;;) {
    const next = draft.batch.waiting[0];
    if (next === undefined) return draft;
    if (hasCapacity(draft.batch, next, settings)) {
      draft = admitSequence(draft, next, settings);
      continue;
    }
    const victim = findLeastUrgent(draft.batch.running);
    if (victim === undefined || victim.priority <= next.priority) return draft;
    draft = releaseSequence(draft, victim, now);
  }
};

/** Distributes the prefill budget of the step over the sequences, in order of admission. */
const planPrefill = (
  running: readonly Sequence[],
  budget: number,
): { readonly running: readonly Sequence[]; readonly computed: number } => {
  let left = budget;
  const next = running.map((sequence) => {
    const share = Math.min(sequence.prefillLeft, left);
    left -= share;
    return share === 0 ? sequence : { ...sequence, prefillLeft: sequence.prefillLeft - share };
  });
  return { running: next, computed: budget - left };
};

/**
 * Plans the next step: preempts sequences if memory is full, admits waiting ones that fit and
 * distributes the prefill budget.
 *
 * @param batch - sequences and cache before the step
 * @param settings - capacity and step times
 * @param now - current instant
 * @returns the batch of the step and its duration
 */
export const planStep = (batch: Batch, settings: BatchSettings, now: Millis): PlannedStep => {
  const afterGrowth = releaseForGrowth({ batch, preempted: [], changes: [] }, settings, now);
  // After a preemption nothing is admitted. Otherwise the freed memory would go to the next waiting
  // sequence and the following step would preempt again.
  const draft =
    afterGrowth.preempted.length > 0 ? afterGrowth : admitWaiting(afterGrowth, settings, now);
  const { running, computed } = planPrefill(draft.batch.running, settings.prefillTokensPerStep);
  const durationMs =
    settings.stepBaseMs +
    settings.stepPerSequenceMs * running.length +
    settings.prefillMsPerToken * computed;
  return { ...draft, batch: { ...draft.batch, running }, durationMs };
};

const updateCache = (
  batch: Batch,
  computed: readonly Sequence[],
  settings: BatchSettings,
): { readonly cache: PrefixCache; readonly changes: readonly CacheChange[] } => {
  let cache = batch.cache;
  const changes: CacheChange[] = [];
  for (const { prefix, promptTokens } of computed) {
    const tokens = Math.min(promptTokens, settings.cachedPrefixTokens);
    const isCached = findCachedTokens(cache, prefix) > 0;
    const missing = countMissingTokens(
      { ...batch, cache },
      tokens + batch.running.length,
      settings.memoryTokens,
    );
    if (isCached || missing > 0) continue;
    cache = [...cache, { prefix, tokens }];
    changes.push({ kind: 'stored', prefix });
  }
  return { cache, changes };
};

/** A sequence that fills the whole memory on its own ends, because no preemption can free more. */
const isFinished = (sequence: Sequence, settings: BatchSettings): boolean =>
  sequence.generated >= sequence.targetTokens ||
  sequence.promptTokens + sequence.generated >= settings.memoryTokens;

/**
 * Finishes a step: each sequence whose prefill is complete produces its next token.
 *
 * @param batch - batch of the step, without sequences that were cancelled during it
 * @param settings - capacity of memory and prefix cache
 * @param now - end of the step
 * @returns the batch after the step, its tokens and its changes to the cache
 */
export const finishStep = (batch: Batch, settings: BatchSettings, now: Millis): StepResult => {
  const ready = batch.running.filter(({ prefillLeft }) => prefillLeft === 0);
  const stalledMs = ready.reduce(
    (sum, { stalledSince }) => sum + (stalledSince === 'not-stalled' ? 0 : now - stalledSince),
    0,
  );
  const stepped = batch.running.map((sequence): Sequence =>
    sequence.prefillLeft === 0
      ? { ...sequence, generated: sequence.generated + 1, stalledSince: 'not-stalled' }
      : sequence,
  );
  const emitted = stepped.filter(({ prefillLeft }) => prefillLeft === 0);
  const finished = emitted.filter((sequence) => isFinished(sequence, settings));
  const running = stepped.filter((sequence) => !finished.includes(sequence));
  const prefilled = emitted.filter(({ generated }) => generated === 1);
  const { cache, changes } = updateCache({ ...batch, running }, prefilled, settings);
  return { batch: { ...batch, running, cache }, emitted, finished, changes, stalledMs };
};
