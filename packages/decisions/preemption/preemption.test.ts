import test from 'ava';
import fc from 'fast-check';
import { computePriority, decidePreemption, getStallWeight } from './preemption.js';
import type { MemoryHolder, Preemptibility, PreemptionInputs } from './types.js';
import type { AnswerLength, Importance } from '../placement/types.js';
import { createSurvivalTable } from '../survival/survivalTable.js';

const INPUTS: PreemptionInputs = {
  usedTokens: 9_900,
  totalTokens: 10_000,
  tokensPerSecond: 300,
  horizonMs: 2_000,
  overflowProbability: 0.5,
  survival: createSurvivalTable(),
};

const buildHolder = (requestId: string, changes: Partial<MemoryHolder> = {}): MemoryHolder => ({
  requestId,
  targets: { className: 'memo', importance: 'standard', answerLength: 'long' },
  customer: 'caroni',
  version: 'v1',
  promptTokens: 600,
  generated: 400,
  preemptibility: 'restartable',
  ...changes,
});

const summary = { className: 'summary', importance: 'background', answerLength: 'short' } as const;

// Guards against preempting long memos while cheaper sequences run, and against a forecast that
// relies on sequences ending when memory will probably be full before they do.
test('a background summary is preempted before a memo, and no more sequences than needed', (t) => {
  const holders = ['m1', 'm2', 's1', 's2'].map((id) =>
    buildHolder(id, id.startsWith('s') ? { targets: summary } : {}),
  );
  const decision = decidePreemption(INPUTS, holders);
  t.is(decision.kind, 'preempt');
  t.is(decision.kind === 'preempt' ? decision.requestIds.length : 0, 1);
  t.regex(decision.kind === 'preempt' ? (decision.requestIds[0] ?? '') : '', /^s/);
});

// Guards against interrupting a stream that the caller has begun to read.
test('a sequence that cannot restart is never preempted', (t) => {
  fc.assert(
    fc.property(
      fc.array(
        fc.record({
          preemptibility: fc.constantFrom<Preemptibility[]>('restartable', 'engine-only'),
          promptTokens: fc.integer({ min: 1, max: 4_000 }),
          generated: fc.nat(4_000),
        }),
        { maxLength: 20 },
      ),
      fc.integer({ min: 0, max: 12_000 }),
      (changes, usedTokens) => {
        const holders = changes.map((change, index) => buildHolder(index.toString(), change));
        const decision = decidePreemption({ ...INPUTS, usedTokens }, holders);
        if (decision.kind === 'keep') return true;
        const preempted = new Set(decision.requestIds);
        return holders.every(
          (holder) => !preempted.has(holder.requestId) || holder.preemptibility === 'restartable',
        );
      },
    ),
    { seed: 31, numRuns: 200 },
  );
  t.deepEqual(decidePreemption({ ...INPUTS, usedTokens: 3_000 }, [buildHolder('a')]), {
    kind: 'keep',
  });
});

// Guards against engine priorities that contradict the costs of stalls.
test('priority numbers follow the stall weights in both orders', (t) => {
  const importances: readonly Importance[] = ['critical', 'standard', 'background'];
  const lengths: readonly AnswerLength[] = ['long', 'short'];
  const classes = importances.flatMap((importance) =>
    lengths.map((answerLength) => ({ className: 'x', importance, answerLength })),
  );
  for (const left of classes) {
    for (const right of classes) {
      const isHigher = getStallWeight(left) > getStallWeight(right);
      t.is(
        computePriority(left, 'higher-first') > computePriority(right, 'higher-first'),
        isHigher,
      );
      t.is(computePriority(left, 'lower-first') < computePriority(right, 'lower-first'), isHigher);
    }
  }
});
