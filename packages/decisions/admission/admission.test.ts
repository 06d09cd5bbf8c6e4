import test from 'ava';
import { DEFAULT_ADMISSION_SETTINGS, SERVICE_ADMISSION_SETTINGS } from './constants.js';
import { decideAdmit } from './decideAdmit.js';
import { createAdmissionState, decideLimit, getLimit } from './decideLimit.js';
import type {
  AdmissionEvent,
  AdmissionPhase,
  AdmissionRequest,
  AdmissionState,
  EngineMemory,
} from './types.js';
import type { Importance } from '../placement/types.js';
import { createSurvivalTable } from '../survival/survivalTable.js';

const CONTEXT = { settings: DEFAULT_ADMISSION_SETTINGS, survival: createSurvivalTable() };
const MEMORY: EngineMemory = {
  usedTokens: 1_000,
  totalTokens: 100_000,
  tokensPerSecond: 300,
  preemptions: 0,
};

const buildRequest = (
  requestId: string,
  importance: Importance = 'standard',
  promptTokens = 100,
): AdmissionRequest => ({
  requestId,
  targets: { className: 'memo', importance, answerLength: 'long' },
  customer: 'caroni',
  version: 'v1',
  promptTokens,
});

const buildLoad = (
  identity: string,
  now: number,
  memory: Partial<EngineMemory> = {},
): AdmissionEvent => ({
  kind: 'load-read',
  identity,
  memory: { ...MEMORY, ...memory },
  generated: new Map(),
  requestedAt: now,
  now,
});

const fold = (state: AdmissionState, ...events: readonly AdmissionEvent[]): AdmissionState =>
  events.reduce((current, event) => decideLimit(current, event, CONTEXT).state, state);

/** Builds the state of a daemon with `running` confirmed sequences on a warm engine. */
const buildServing = (limit: number, running: number, memory = MEMORY): AdmissionState => {
  const phase: AdmissionPhase = { kind: 'serving', identity: 'e1', limit };
  const sequences = Array.from({ length: running }, (_, index) => ({
    ...buildRequest(`running-${index.toString()}`),
    generated: 100,
    engine: 'confirmed' as const,
    admittedAt: 0,
  }));
  return {
    ...createAdmissionState(0),
    phase,
    memory,
    running: new Map(sequences.map((sequence) => [sequence.requestId, sequence])),
    gaps: { baselineMs: 30, recentMs: 30, samples: 100 },
  };
};

const describeRefusal = (state: AdmissionState, request: AdmissionRequest): string => {
  const decision = decideAdmit(state, request, CONTEXT);
  return decision.kind === 'admit'
    ? 'admit'
    : `${decision.failure.verdict} ${decision.failure.code}`;
};

const buildTokens = (gapMs: number, now: number): AdmissionEvent => ({
  kind: 'tokens-received',
  requestId: 'running-0',
  tokens: 10,
  gapMs,
  now,
});

// Guards against sending requests to an engine of which nothing is known.
test('nothing is admitted before the engine has been seen, then the start limit applies', (t) => {
  const unseen = createAdmissionState(0);
  t.is(describeRefusal(unseen, buildRequest('a')), 'not-run overloaded');
  const seen = fold(unseen, buildLoad('e1', 10));
  t.is(getLimit(seen), DEFAULT_ADMISSION_SETTINGS.startLimit);
  t.is(describeRefusal(seen, buildRequest('a')), 'admit');
});

// Guards against sending full load to a restarted engine.
test('a new engine identity resets the limit and drops the sequences of the old engine', (t) => {
  const step = decideLimit(buildServing(40, 30), buildLoad('e2', 5_000), CONTEXT);
  t.is(getLimit(step.state), DEFAULT_ADMISSION_SETTINGS.startLimit);
  t.is(step.state.running.size, 0);
  const lost = step.effects.find((effect) => effect.kind === 'sequences-lost');
  t.is(lost?.requestIds.length, 30);
});

// Guards against full load on an engine whose cache became cold without a restart, and against
// mistaking a single stalled sequence for a cold cache.
test('gaps far above the warm baseline reset the limit to the start limit, a single one does not', (t) => {
  const cold = Array.from({ length: 15 }, (_, index) => buildTokens(400, 5_000 + index));
  t.is(getLimit(fold(buildServing(40, 30), ...cold)), 2);
  t.is(getLimit(fold(buildServing(40, 30), buildTokens(10_000, 5_000))), 40);
});

// Guards against a plain service whose limit never grows, since its calls have no tokens.
test('the limit of a plain service grows with completions', (t) => {
  const context = { ...CONTEXT, settings: SERVICE_ADMISSION_SETTINGS };
  const empty = { totalTokens: 0, usedTokens: 0 };
  const seen = decideLimit(createAdmissionState(0), buildLoad('e1', 0, empty), context).state;
  const served = Array.from({ length: 12 }, (_, index) => index.toString()).reduce(
    (state, requestId) => {
      const now = 100 * Number(requestId);
      const events: readonly AdmissionEvent[] = [
        { kind: 'admitted', request: buildRequest(requestId, 'critical', 0), now },
        { kind: 'tokens-received', requestId, tokens: 0, gapMs: 40, now },
        { kind: 'sequence-ended', requestId, reason: 'finished', now },
      ];
      return events.reduce((current, event) => decideLimit(current, event, context).state, state);
    },
    seen,
  );
  // Calls made one at a time are no evidence for a limit above three.
  t.is(getLimit(served), 3);
});

// Guards against a limit that stays at a level where the engine collapses, or decreases with every
// token.
test('gaps above the collapse factor lower the limit once per settling time', (t) => {
  const slow = Array.from({ length: 40 }, (_, index) => buildTokens(120, 5_000 + index));
  t.is(getLimit(fold(buildServing(40, 30), ...slow)), 28);
  t.is(getLimit(fold(buildServing(40, 30), ...slow, buildTokens(120, 6_500))), 19);
});

// Guards against repeated preemptions because the limit ignores them.
test('a preemption lowers the limit', (t) => {
  t.is(getLimit(fold(buildServing(40, 30), buildLoad('e1', 5_000, { preemptions: 1 }))), 28);
});

// Guards against resetting the limit to the start limit after a single failed sequence.
test('after a failed sequence nothing is admitted until the identity is read, then half the limit', (t) => {
  const event: AdmissionEvent = {
    kind: 'sequence-ended',
    requestId: 'running-0',
    reason: 'engine-failed',
    now: 5_000,
  };
  const step = decideLimit(buildServing(40, 30), event, CONTEXT);
  t.is(getLimit(step.state), 0);
  t.true(step.effects.some((effect) => effect.kind === 'read-load'));
  t.is(getLimit(fold(step.state, buildLoad('e1', 5_010))), 20);
});

// Guards against preemptions caused by sequences that fit at admission and outgrow memory later.
test('a request is refused when the running sequences will probably fill memory', (t) => {
  const full = { ...MEMORY, usedTokens: 94_000 };
  t.is(describeRefusal(buildServing(40, 30, full), buildRequest('a')), 'not-run overloaded');
  t.is(describeRefusal(buildServing(40, 30), buildRequest('a')), 'admit');
  t.is(
    describeRefusal(buildServing(40, 0), buildRequest('a', 'standard', 100_000)),
    'not-run too-large',
  );
});

// Guards against long answers that occupy every slot, so that critical lookups are refused.
test('the last slots are reserved for critical classes', (t) => {
  t.is(describeRefusal(buildServing(20, 19), buildRequest('a')), 'not-run overloaded');
  t.is(describeRefusal(buildServing(20, 19), buildRequest('a', 'critical')), 'admit');
  t.is(describeRefusal(buildServing(20, 20), buildRequest('a', 'critical')), 'not-run overloaded');
});
