import test from 'ava';
import fc from 'fast-check';
import { decideDelivery } from './delivery.js';
import type { DecideDelivery } from './faultyStreams.fixture.js';
import { buildShutdownProperty } from './shutdownProperty.fixture.js';
import type { DeliveryEffect } from './types.js';

const SEED = 909;
const RUNS = 1_500;

// Guards against a shutdown of an entry daemon that breaks a stream or a whole answer (P9) while
// its links break or lose, repeat, reorder and misdirect messages, and other entry daemons are
// killed.
test('P9: every request of an entry daemon that shuts down is answered completely', (t) => {
  fc.assert(buildShutdownProperty(decideDelivery), { seed: SEED, numRuns: RUNS });
  t.pass();
});

const buildDrainVariant =
  (replaceEffect: (effect: DeliveryEffect) => readonly DeliveryEffect[]): DecideDelivery =>
  (state, event) => {
    const step = decideDelivery(state, event);
    if (event.kind !== 'drain-ended') return step;
    return { ...step, effects: step.effects.flatMap(replaceEffect) };
  };

/** Closes the connection without a ticket for the caller. */
const decideWithoutTicket = buildDrainVariant((effect) =>
  effect.kind === 'hand-over' ? [] : [effect],
);

/** Cancels the generation when the connection closes. */
const decideWithCancel = buildDrainVariant((effect) =>
  effect.kind === 'detach' ? [{ kind: 'cancel-generation', source: effect.source }] : [effect],
);

// Guards against a simulation that passes without the mechanism under test.
test('P9: the simulation finds a broken request without the ticket, or with a cancellation', (t) => {
  const withoutTicket = fc.check(buildShutdownProperty(decideWithoutTicket), {
    seed: SEED,
    numRuns: RUNS,
  });
  t.regex(String(withoutTicket.errorInstance), /the stream never ended/);
  const withCancel = fc.check(buildShutdownProperty(decideWithCancel), {
    seed: SEED,
    numRuns: RUNS,
  });
  t.regex(String(withCancel.errorInstance), /was lost/);
});
