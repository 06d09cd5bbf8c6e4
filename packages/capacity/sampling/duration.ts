import { MAX_TIMED_MS, MIN_ROUND_MS, MIN_ROUNDS, TIMED_ROUNDS, WARM_UP_MS } from '../constants.js';

const computeMedian = (values: readonly number[]): number => {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
};

/**
 * Returns the processor time of this process so far, including the threads of the compiler and the
 * garbage collector. Unlike wall-clock time, it excludes the time in which other processes ran on
 * the core.
 *
 * @returns microseconds
 */
export const getProcessorTime = (): number => {
  const { user, system } = process.cpuUsage();
  return user + system;
};

const measureRound = (task: () => void, repeats: number): number => {
  const startedAt = getProcessorTime();
  for (let repeat = 0; repeat < repeats; repeat += 1) task();
  return (getProcessorTime() - startedAt) / repeats;
};

const runWarmUp = (task: () => void): number => {
  const startedAt = performance.now();
  let rounds = 0;
  while (rounds < MIN_ROUNDS || performance.now() - startedAt < WARM_UP_MS) {
    task();
    rounds += 1;
  }
  return (performance.now() - startedAt) / rounds;
};

/**
 * Measures the processor time of a task.
 *
 * @param task - task to repeat; its effects on the state must not make later rounds cheaper
 * @returns median of the rounds in microseconds
 */
export const measureDuration = (task: () => void): number => {
  const repeats = Math.max(1, Math.ceil(MIN_ROUND_MS / runWarmUp(task)));
  const startedAt = performance.now();
  const rounds: number[] = [];
  while (rounds.length < TIMED_ROUNDS) {
    rounds.push(measureRound(task, repeats));
    const isOverTime = performance.now() - startedAt > MAX_TIMED_MS;
    if (isOverTime && rounds.length >= MIN_ROUNDS) break;
  }
  return computeMedian(rounds);
};
