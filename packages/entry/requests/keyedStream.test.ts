import test from 'ava';
import fc from 'fast-check';
import { DEFAULT_CLASS } from './classes.js';
import type { RequestsInputs } from './inputs.js';
import { createKeyed } from './keyedRequest.js';
import { applyKeyedDelivery, applyKeyedLink, startKeyedStream } from './keyedStream.js';
import type { LinkCompletion } from './links.js';
import type { KeyedState, RequestPlacement } from './types.js';
import { createFailure } from '../../core/verdict.js';
import { issueFirstPermit } from '../../decisions/retries/permit.fixture.js';
import { createSendOwner } from '../../decisions/retries/sendOwner.js';
import type { DeliveryEvent } from '../../decisions/streams/types.js';
import type { EntryEffect } from '../events.js';
import type { GenerationRequest } from '../types.js';

const SEED = 4_404;
const RUNS = 2_000;
const NONCE = 'nonce-1';
const TOTAL = 3;

const PLACEMENT: RequestPlacement = {
  endpoint: 'endpoint-1',
  incarnation: 'i',
  engineStart: 's',
  url: 'http://127.0.0.1:1',
  model: 'm',
  version: 'v1',
  placedAt: 0,
};

const REQUEST: GenerationRequest = {
  kind: 'generation',
  requestId: 'request-1',
  customer: 'caroni',
  className: 'once',
  receivedAt: 0,
  fingerprint: 'f',
  parts: [],
  model: 'm',
  form: { kind: 'stream', usage: 'left-out' },
  promptTokens: 1,
  maxTokens: null,
  prefix: 'p',
  body: new Uint8Array(),
  key: 'key-1',
  keyIssuedAt: 0,
};

const handleNothing = (): void => undefined;

/** Stubs of the parts of the daemon that a stream calls; they record and decide nothing. */
const buildInputs = (clock: { now: number }): RequestsInputs =>
  ({
    now: () => clock.now,
    process: 'entry-1',
    createId: () => 'id',
    placements: { releasePlacement: handleNothing, updateProgress: handleNothing },
    suspicions: { apply: handleNothing },
    sends: createSendOwner(0),
    survival: { observeFinished: handleNothing },
  }) as unknown as RequestsInputs;

const link = fc.nat({ max: 1 });
const verdict = fc.constantFrom('not-run' as const, 'may-have-run' as const);
const generationIds = {
  requestId: fc.constant(REQUEST.requestId),
  generationId: fc.constant(NONCE),
};

const anyCompletion: fc.Arbitrary<LinkCompletion> = fc.oneof(
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant('link-opened' as const), ...generationIds, link }),
  },
  {
    weight: 14,
    arbitrary: fc.record({
      kind: fc.constant('chunks-received' as const),
      ...generationIds,
      link,
      firstNumber: fc.nat({ max: TOTAL - 1 }),
      choices: fc.nat({ max: 3 }).map((count) => Array.from({ length: count }, () => '[]')),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('generation-finished' as const),
      ...generationIds,
      link,
      chunkCount: fc.constant(TOTAL),
      usage: fc.constant(''),
      digest: fc.constant('digest'),
    }),
  },
  fc.record({
    kind: fc.constant('generation-failed' as const),
    ...generationIds,
    link,
    failure: fc
      .tuple(verdict, fc.constantFrom('endpoint-lost' as const, 'lost-race' as const))
      .map(([failureVerdict, code]) => createFailure(failureVerdict, code, 'failed')),
  }),
  fc.record({
    kind: fc.constant('link-lost' as const),
    ...generationIds,
    link,
    sent: fc.constantFrom('sent' as const, 'unsent' as const),
    reason: fc.constant('cut'),
  }),
);

type Action =
  | { readonly kind: 'link'; readonly completion: LinkCompletion; readonly afterMs: number }
  | { readonly kind: 'stream'; readonly event: DeliveryEvent['kind'] };

const anyAction: fc.Arbitrary<Action> = fc.oneof(
  {
    weight: 12,
    arbitrary: fc.record({
      kind: fc.constant('link' as const),
      completion: anyCompletion,
      afterMs: fc.constantFrom(0, 10, 6_000),
    }),
  },
  fc.record({
    kind: fc.constant('stream' as const),
    event: fc.constantFrom('endpoint-gone' as const, 'drain-ended' as const),
  }),
);

const applyAction = (state: KeyedState, action: Action, clock: { now: number }) => {
  const inputs = buildInputs(clock);
  if (action.kind === 'link') {
    clock.now += action.afterMs;
    return applyKeyedLink(state, action.completion, inputs);
  }
  const { endpoint, incarnation } = PLACEMENT;
  const event: DeliveryEvent =
    action.event === 'endpoint-gone'
      ? { kind: 'endpoint-gone', endpoint, incarnation }
      : { kind: 'drain-ended' };
  return applyKeyedDelivery(state, event, inputs);
};

const ENDS: ReadonlySet<EntryEffect['kind']> = new Set([
  'finish-generation',
  'fail-request',
  'hand-over',
]);

// Guards against a stream that starts its generation a second time, cancels it although the caller
// may retry with the same key, or ends its caller's request twice or before the dispatch has ended.
test('the stream of a dispatched nonce starts it once and never cancels it', (t) => {
  const seen = { answered: 0, refused: 0, unknown: 0 };
  const property = fc.property(fc.array(anyAction, { maxLength: 40, size: 'max' }), (actions) => {
    const clock = { now: 0 };
    const inputs = buildInputs(clock);
    const policy = { ...DEFAULT_CLASS, repeat: 'never' } as const;
    const keyed = createKeyed(REQUEST, policy, inputs);
    const started = startKeyedStream(keyed, REQUEST, PLACEMENT, NONCE, issueFirstPermit(60_000));
    let { state } = started;
    const effects = [...started.effects];
    let ends = 0;
    for (const action of actions) {
      const step = applyAction(state, action, clock);
      state = step.state;
      effects.push(...step.effects);
      if (step.ended === null) continue;
      ends += 1;
      seen[step.ended.kind] += 1;
    }
    const starts = effects.filter(
      (effect) => effect.kind === 'open-generation' && effect.open.mode === 'start',
    );
    const callerEnds = effects.filter(({ kind }) => ENDS.has(kind)).length;
    if (starts.length !== 1)
      throw new Error(`the generation was started ${starts.length.toString()} times`);
    if (effects.some(({ kind }) => kind === 'cancel-generation'))
      throw new Error('the generation was cancelled');
    if (ends > 1) throw new Error(`the dispatch ended ${ends.toString()} times`);
    if (callerEnds > ends)
      throw new Error('the caller was served while the dispatch was still running');
    if (callerEnds === 1 && state.caller !== 'served')
      throw new Error('the caller still waits after its request ended');
    if (ends === 1 && state.stream !== null)
      throw new Error('the stream remains after the dispatch ended');
  });
  fc.assert(property, { seed: SEED, numRuns: RUNS });
  t.log(JSON.stringify(seen));
  // Without this check, the test would pass if no run ever reached an end.
  t.true(Object.values(seen).every((count) => count > RUNS / 100));
});
