import test from 'ava';
import { decideDelivery, initDelivery, resumeDelivery } from './delivery.js';
import type { DeliveryEvent, DeliveryMode, GenerationSource } from './types.js';
import { createFailure } from '../../core/verdict.js';

const source: GenerationSource = { generationId: 'g1', endpoint: 'e1', incarnation: 'i1' };
const toLink = (link: number) => ({ generationId: 'g1', link });

const run = (delivery: DeliveryMode, ...events: readonly DeliveryEvent[]) => {
  let step = decideDelivery(initDelivery(delivery), { kind: 'attempt-started', source });
  for (const event of events) step = decideDelivery(step.state, event);
  return step;
};

const buildChunks = (firstNumber: number, ...chunks: readonly string[]): DeliveryEvent => ({
  kind: 'chunks',
  ...toLink(0),
  firstNumber,
  chunks,
  now: 0,
});

const lost: DeliveryEvent = { kind: 'link-lost', ...toLink(0), now: 0 };
const refusal = createFailure('not-run', 'overloaded', 'full');
const listKinds = (step: { readonly effects: readonly { readonly kind: string }[] }) =>
  step.effects.map((effect) => effect.kind);

// Guards against a failure with the verdict not-run after the first attempt may have started (P6).
test('a refused resume or second attempt does not prove that the first attempt did not run', (t) => {
  const first = run('incremental', { kind: 'failed', ...toLink(0), failure: refusal });
  t.deepEqual(first.effects, [{ kind: 'restart-allowed', failure: refusal }]);
  const resumed = run('incremental', lost, { kind: 'failed', ...toLink(1), failure: refusal });
  t.deepEqual(listKinds(resumed), ['cancel-generation', 'restart-allowed']);
  const retried = [
    { kind: 'attempt-started', source: { ...source, generationId: 'g2' } },
    { kind: 'failed', generationId: 'g2', link: 0, failure: refusal },
    { kind: 'attempts-ended', failure: refusal },
  ] as const;
  const last = retried.reduce((step, event) => decideDelivery(step.state, event), resumed);
  t.like(last.effects[0], { kind: 'fail', failure: { verdict: 'may-have-run' } });
});

// Guards against an answer that combines chunks of two generations.
test('a generation that is lost after its first chunk was written fails as stream-lost', (t) => {
  const endpointGone = { kind: 'endpoint-gone', endpoint: 'e1', incarnation: 'i1' } as const;
  const written = run('incremental', buildChunks(0, 'a'), endpointGone);
  t.like(written.effects[1], {
    kind: 'fail',
    failure: { code: 'stream-lost', verdict: 'may-have-run' },
  });
  const second = decideDelivery(run('incremental', buildChunks(0, 'a')).state, {
    kind: 'attempt-started',
    source: { ...source, generationId: 'g2' },
  });
  t.deepEqual(listKinds(second), ['cancel-generation']);
  const whole = run('whole', buildChunks(0, 'a'), endpointGone);
  t.deepEqual(listKinds(whole), ['cancel-generation', 'restart-allowed']);
});

// Guards against resumes in a tight loop, and against resumes that never end.
test('resumes back off exponentially until the endpoint counts as lost', (t) => {
  let step = run('incremental', buildChunks(0, 'a'), lost);
  t.deepEqual(step.effects, [{ kind: 'resume', source, fromNumber: 1, link: 1 }]);
  const delays: number[] = [];
  let now = 0;
  while (step.state.phase !== 'ended') {
    const { link } = step.state;
    step = decideDelivery(step.state, { kind: 'link-lost', ...toLink(link), now });
    const wait = step.effects.find((effect) => effect.kind === 'schedule-resume');
    if (wait === undefined) break;
    delays.push(wait.delayMs);
    now += wait.delayMs;
    step = decideDelivery(step.state, { kind: 'resume-timer', ...toLink(link), now });
  }
  t.deepEqual(delays, [50, 100, 200, 400, 800, 1000, 1000, 1000, 1000]);
  t.is(step.state.phase, 'ended');
});

// Guards against cancelling a resumable generation because its caller disconnected.
test('a caller that disconnects detaches from a stream it can resume and cancels any other', (t) => {
  const disconnect = { kind: 'caller-disconnected' } as const;
  t.deepEqual(listKinds(run('incremental', buildChunks(0, 'a'), disconnect)), ['detach']);
  t.deepEqual(listKinds(run('incremental', disconnect)), ['cancel-generation']);
  t.deepEqual(listKinds(run('whole', buildChunks(0, 'a'), disconnect)), ['cancel-generation']);
  const resumed = resumeDelivery(source, 3);
  t.deepEqual(listKinds(decideDelivery(resumed.state, disconnect)), ['detach']);
});
