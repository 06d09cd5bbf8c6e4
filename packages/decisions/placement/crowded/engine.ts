import type { Millis } from '../../../core/clock.js';
import type { RequestId } from '../../../core/ids.js';

/** Base time between tokens, and its increase per sequence in the batch. */
const BASE_GAP_MS = 20;
const GAP_PER_SEQUENCE_MS = 0.4;
/** Prompt tokens per millisecond, and the factor on token gaps while prompts are prefilled. */
const PREFILL_TOKENS_PER_MS = 10;
const PREFILL_SLOW_DOWN = 1.3;
/** Share of memory that must stay free when the engine starts a sequence. */
const START_MEMORY_SHARE = 0.01;

/** A sequence in the fluid model; `generated` grows continuously instead of by whole tokens. */
export interface EngineSequence {
  readonly requestId: RequestId;
  readonly className: string;
  /** Sequences with larger numbers start first and are preempted last. */
  readonly priority: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly arrivedAt: Millis;
  phase: 'waiting' | 'prefill' | 'decoding';
  generated: number;
  prefillLeft: number;
  preemptions: number;
  stallMs: Millis;
}

/** Fluid model of an engine with batched steps, limited memory and preemption by recomputation. */
export interface FluidEngine {
  readonly name: string;
  readonly memoryTokens: number;
  sequences: EngineSequence[];
  preemptions: number;
  /** Output tokens per second in the last step. */
  tokensPerSecond: number;
  gapMs: Millis;
}

/** Sequences that finished or produced their first token in one step. */
export interface EngineStep {
  readonly finished: readonly EngineSequence[];
  readonly firstTokens: readonly EngineSequence[];
}

/** Creates an idle engine. */
export const createFluidEngine = (name: string, memoryTokens: number): FluidEngine => ({
  name,
  memoryTokens,
  sequences: [],
  preemptions: 0,
  tokensPerSecond: 0,
  gapMs: BASE_GAP_MS,
});

const getSize = (sequence: EngineSequence): number => sequence.promptTokens + sequence.generated;

const listRunning = (engine: FluidEngine): EngineSequence[] =>
  engine.sequences.filter((sequence) => sequence.phase !== 'waiting');

/** Returns the memory in use, in tokens. */
export const countMemory = (engine: FluidEngine): number =>
  listRunning(engine).reduce((sum, sequence) => sum + getSize(sequence), 0);

const comparePriority = (left: EngineSequence, right: EngineSequence): number =>
  right.priority - left.priority || left.arrivedAt - right.arrivedAt;

const startWaitingSequences = (engine: FluidEngine): void => {
  let used = countMemory(engine);
  const waiting = engine.sequences.filter((sequence) => sequence.phase === 'waiting');
  for (const sequence of waiting.sort(comparePriority)) {
    const size = getSize(sequence);
    if (used > 0 && used + size > engine.memoryTokens * (1 - START_MEMORY_SHARE)) return;
    sequence.phase = 'prefill';
    sequence.prefillLeft = size;
    used += size;
  }
};

const runPrefill = (engine: FluidEngine, durationMs: Millis): boolean => {
  let budget = durationMs * PREFILL_TOKENS_PER_MS;
  const prefilling = engine.sequences.filter((sequence) => sequence.phase === 'prefill');
  for (const sequence of prefilling.sort(comparePriority)) {
    const done = Math.min(budget, sequence.prefillLeft);
    sequence.prefillLeft -= done;
    budget -= done;
    if (sequence.prefillLeft <= 0) sequence.phase = 'decoding';
  }
  return prefilling.length > 0;
};

/** Preempts sequences by lowest priority, latest arrival first, until the rest fits in memory. */
const resolveOverflow = (engine: FluidEngine): void => {
  const running = listRunning(engine).sort(comparePriority);
  let used = running.reduce((sum, sequence) => sum + getSize(sequence), 0);
  while (used > engine.memoryTokens && running.length > 1) {
    const victim = running.pop();
    if (victim === undefined) return;
    used -= getSize(victim);
    victim.phase = 'waiting';
    victim.preemptions += 1;
    engine.preemptions += 1;
  }
};

/**
 * Advances an engine by one step.
 *
 * @param engine - updated in place
 * @param durationMs - length of the step
 * @returns sequences that finished or produced their first token
 */
export const runEngine = (engine: FluidEngine, durationMs: Millis): EngineStep => {
  startWaitingSequences(engine);
  const isPrefilling = runPrefill(engine, durationMs);
  const decoding = engine.sequences.filter((sequence) => sequence.phase === 'decoding');
  const slowDown = isPrefilling ? PREFILL_SLOW_DOWN : 1;
  engine.gapMs = (BASE_GAP_MS + GAP_PER_SEQUENCE_MS * decoding.length) * slowDown;
  engine.tokensPerSecond = (1_000 / engine.gapMs) * decoding.length;
  const firstTokens: EngineSequence[] = [];
  for (const sequence of decoding) {
    if (sequence.generated < 1 && sequence.generated + durationMs / engine.gapMs >= 1) {
      firstTokens.push(sequence);
    }
    sequence.generated += durationMs / engine.gapMs;
  }
  for (const sequence of engine.sequences) {
    if (sequence.phase !== 'decoding' && sequence.generated >= 1) sequence.stallMs += durationMs;
  }
  const finished = decoding.filter((sequence) => sequence.generated >= sequence.outputTokens);
  engine.sequences = engine.sequences.filter((sequence) => !finished.includes(sequence));
  resolveOverflow(engine);
  return { finished, firstTokens };
};
