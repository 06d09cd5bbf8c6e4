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

/** Sequences and cache between two steps. */
export interface Batch {
  /** Sequences that hold memory, in order of admission. */
  readonly running: readonly Sequence[];
  /** Sequences without memory, best priority and earliest arrival first. */
  readonly waiting: readonly Sequence[];
  readonly cache: PrefixCache;
}

/** A step that was planned and takes its time. */
export interface PlannedStep {
  readonly batch: Batch;
  readonly preempted: readonly Sequence[];
  readonly changes: readonly CacheChange[];
  readonly durationMs: Millis;
}

/** Result of a step at its end. */
export interface StepResult {
  readonly batch: Batch;
  /** Sequences that got a token, as they are after it. */
  readonly emitted: readonly Sequence[];
  readonly finished: readonly Sequence[];
  readonly changes: readonly CacheChange[];
  /** Time for which resumed sequences had stood still. */
  readonly stalledMs: Millis;
}

/**
 * Compares two sequences by who runs first.
 *
 * @param left - a sequence
 * @param right - another
 * @returns negative when the left one runs first
 */
export const compareUrgency = (left: Sequence, right: Sequence): number =>
  left.priority - right.priority || left.arrival - right.arrival;

/**
 * Counts the memory that running sequences hold.
 *
 * @param running - sequences in the batch
 * @returns tokens
 */
export const countUsedTokens = (running: readonly Sequence[]): number =>
  running.reduce((sum, { promptTokens, generated }) => sum + promptTokens + generated, 0);

const findLeastUrgent = (running: readonly Sequence[]): Sequence | undefined =>
  [...running].sort(compareUrgency).at(-1);

/**
 * Adds a sequence to those that wait.
 *
 * @param batch - batch
 * @param sequence - sequence without memory
 * @returns the batch with the sequence in its place
 */
export const addWaiting = (batch: Batch, sequence: Sequence): Batch => {
  const position = batch.waiting.findIndex((other) => compareUrgency(sequence, other) < 0);
  const index = position === -1 ? batch.waiting.length : position;
  return { ...batch, waiting: batch.waiting.toSpliced(index, 0, sequence) };
};

/** Work in progress on one plan. */
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

/** Makes room for the next token of each running sequence. */
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
  const held = sequence.promptTokens + sequence.generated;
  const cachedTokens = Math.min(
    findCachedTokens(batch.cache, sequence.prefix),
    sequence.promptTokens,
  );
  const admitted = { ...sequence, cachedTokens, prefillLeft: Math.max(1, held - cachedTokens) };
  const recent = {
    ...draft,
    batch: { ...batch, cache: updateRecency(batch.cache, sequence.prefix) },
  };
  const needed = held + batch.running.length + 1;
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

/** Admits waiting sequences in order, at the cost of less important ones where memory is full. */
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

/** Spreads the step's prefill budget over the sequences in order of admission. */
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
 * Plans the next step: preempts where memory is full, admits what fits and computes prompts.
 *
 * @param batch - sequences and cache before the step
 * @param settings - sizes and speeds
 * @param now - current instant
 * @returns the batch of the step and the time that it takes
 */
export const planStep = (batch: Batch, settings: BatchSettings, now: Millis): PlannedStep => {
  const afterGrowth = releaseForGrowth({ batch, preempted: [], changes: [] }, settings, now);
  // After a preemption nothing is admitted, or the freed memory would go to the next in line and
  // the step after it would preempt again.
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

/** A sequence that fills the whole memory alone ends there, as no preemption can help it. */
const isFinished = (sequence: Sequence, settings: BatchSettings): boolean =>
  sequence.generated >= sequence.targetTokens ||
  sequence.promptTokens + sequence.generated >= settings.memoryTokens;

/**
 * Settles a step: each sequence whose prompt is computed gets its next token.
 *
 * @param batch - batch of the step, without sequences cancelled since
 * @param settings - sizes and speeds
 * @param now - end of the step
 * @returns the batch after the step and what it produced
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
