import fc from 'fast-check';
import { DEFAULT_ADMISSION_SETTINGS } from './constants.js';
import { decideAdmit } from './decideAdmit.js';
import { createAdmissionState, decideLimit, getLimit } from './decideLimit.js';
import type { AdmissionEvent, AdmissionRequest, AdmissionState } from './types.js';
import { createRandomSource } from '../../core/random.js';
import type { RandomSource } from '../../core/random.js';
import { createSurvivalTable } from '../survival/survivalTable.js';

const TICK_MS = 5;
const RUN_MS = 60_000;
const LOAD_PERIOD_MS = 250;
const READ_DELAY_MS = 10;
const MIN_GAP_MS = 30;
const COLD_CAPACITY = 2;
const WARM_UP_TOKENS_PER_SEQUENCE = 400;
const MAX_CAPACITY = 24;
const CONTEXT = { settings: DEFAULT_ADMISSION_SETTINGS, survival: createSurvivalTable() };

/** How a restart becomes visible: connections break at once, or they hang. */
type RestartSign = 'broken-connections' | 'hanging-connections';

interface Engine {
  identity: number;
  warmTokens: number;
  readonly running: Map<string, { remaining: number; progress: number }>;
}

/** Parameters of a simulation run. */
export interface Scenario {
  readonly seed: number;
  readonly entryDaemons: number;
  readonly limiting: 'decided' | 'fixed';
  readonly restarts: readonly { readonly at: number; readonly sign: RestartSign }[];
}

/** Counts observed in a run. */
export interface Outcome {
  readonly collapses: number;
  readonly overruns: number;
  readonly finished: number;
  readonly highestLimit: number;
}

const computeCapacity = (engine: Engine): number =>
  Math.min(MAX_CAPACITY, COLD_CAPACITY + engine.warmTokens / WARM_UP_TOKENS_PER_SEQUENCE);

const computeGap = (engine: Engine): number =>
  MIN_GAP_MS * (1 + (engine.running.size / computeCapacity(engine)) ** 2);

const buildRequest = (requestId: string): AdmissionRequest => ({
  requestId,
  targets: { className: 'memo', importance: 'critical', answerLength: 'long' },
  customer: 'caroni',
  version: 'v1',
  promptTokens: 100,
});

/**
 * Runs the decisions of one endpoint daemon against an engine whose capacity grows with the tokens
 * it has generated.
 *
 * @param scenario - seed, load and restarts
 * @returns counts observed in the run
 */
export const runScenario = (scenario: Scenario): Outcome => {
  const random: RandomSource = createRandomSource(scenario.seed);
  const engine: Engine = { identity: 0, warmTokens: 0, running: new Map() };
  const reads: { readonly requestedAt: number; readonly at: number }[] = [];
  let state: AdmissionState = createAdmissionState(0);
  let requestCount = 0;
  const outcome = { collapses: 0, overruns: 0, finished: 0, highestLimit: 0 };

  const handle = (event: AdmissionEvent): void => {
    const step = decideLimit(state, event, CONTEXT);
    state = step.state;
    for (const effect of step.effects) {
      if (effect.kind === 'read-load') {
        reads.push({ requestedAt: event.now, at: event.now + READ_DELAY_MS });
      }
    }
  };

  const restart = (sign: RestartSign, now: number): void => {
    const lost = [...engine.running.keys()];
    engine.identity += 1;
    engine.warmTokens = 0;
    engine.running.clear();
    if (sign === 'hanging-connections') return;
    for (const requestId of lost) {
      handle({ kind: 'sequence-ended', requestId, reason: 'engine-failed', now });
    }
  };

  const readLoad = (requestedAt: number, now: number): void => {
    const memory = { usedTokens: 0, totalTokens: 0, tokensPerSecond: 0, preemptions: 0 };
    const identity = engine.identity.toString();
    handle({ kind: 'load-read', identity, memory, generated: new Map(), requestedAt, now });
  };

  const sendRequests = (now: number): void => {
    for (let daemon = 0; daemon < scenario.entryDaemons; daemon += 1) {
      if (random.next() > 0.2) continue;
      requestCount += 1;
      const request = buildRequest(requestCount.toString());
      const decision =
        scenario.limiting === 'decided'
          ? decideAdmit(state, request, CONTEXT).kind
          : state.running.size < MAX_CAPACITY
            ? 'admit'
            : 'refuse';
      if (decision === 'refuse') continue;
      if (scenario.limiting === 'decided' && state.running.size >= getLimit(state)) {
        outcome.overruns += 1;
      }
      handle({ kind: 'admitted', request, now });
      const length = 5 + Math.floor(-200 * Math.log(1 - random.next()));
      engine.running.set(request.requestId, { remaining: length, progress: 0 });
    }
  };

  const generateTokens = (now: number): void => {
    const gapMs = computeGap(engine);
    for (const [requestId, sequence] of engine.running) {
      sequence.progress += TICK_MS / gapMs;
      if (sequence.progress < 1) continue;
      sequence.progress -= 1;
      sequence.remaining -= 1;
      engine.warmTokens += 1;
      handle({ kind: 'tokens-received', requestId, tokens: 1, gapMs, now });
      if (sequence.remaining > 0) continue;
      engine.running.delete(requestId);
      outcome.finished += 1;
      handle({ kind: 'sequence-ended', requestId, reason: 'finished', now });
    }
  };

  for (let now = 0; now < RUN_MS; now += TICK_MS) {
    for (const item of scenario.restarts) if (item.at === now) restart(item.sign, now);
    if (now % LOAD_PERIOD_MS === 0) reads.push({ requestedAt: now, at: now + READ_DELAY_MS });
    for (const read of reads.splice(0)) {
      if (read.at <= now) readLoad(read.requestedAt, now);
      else reads.push(read);
    }
    sendRequests(now);
    if (engine.running.size > computeCapacity(engine)) outcome.collapses += 1;
    generateTokens(now);
    outcome.highestLimit = Math.max(outcome.highestLimit, getLimit(state));
  }
  return outcome;
};

const restart = fc.record({
  at: fc.integer({ min: 0, max: RUN_MS / TICK_MS }).map((tick) => tick * TICK_MS),
  sign: fc.constantFrom<RestartSign[]>('broken-connections', 'hanging-connections'),
});

/**
 * Builds the property that a cold engine never runs more sequences than its capacity.
 *
 * @param observe - receives the outcome of each run
 * @returns a fast-check property
 */
export const buildColdEngineProperty = (observe: (outcome: Outcome) => void) =>
  fc.property(
    fc.nat(1_000_000),
    fc.integer({ min: 1, max: 6 }),
    fc.array(restart, { maxLength: 3 }),
    (seed, entryDaemons, restarts) => {
      const outcome = runScenario({ seed, entryDaemons, limiting: 'decided', restarts });
      observe(outcome);
      return outcome.collapses === 0 && outcome.overruns === 0;
    },
  );
