import fc from 'fast-check';
import { decideDelivery } from './delivery.js';
import { buildStreamProperty } from './faultyStreams.fixture.js';
import type { DecideDelivery } from './faultyStreams.fixture.js';
import type { SimulationAction } from './streamActions.fixture.js';

const anyStreamAction: fc.Arbitrary<SimulationAction> = fc.record({
  kind: fc.constantFrom(
    ...(['produce', 'produce', 'produce', 'deliver', 'deliver', 'deliver', 'deliver'] as const),
    ...(['drop', 'duplicate', 'misdeliver', 'advance', 'cut'] as const),
    ...(['drain-entry', 'kill-entry', 'kill-endpoint'] as const),
  ),
  pick: fc.nat({ max: 10_000 }),
});

/** Progress, link faults, drains of entry daemons, and kills of entry and endpoint daemons. */
export const anyStreamActions = fc.array(anyStreamAction, { maxLength: 160, size: 'max' });

const anyAnswerAction: fc.Arbitrary<SimulationAction> = fc.record({
  kind: fc.constantFrom(
    ...(['produce', 'produce', 'produce', 'deliver', 'deliver', 'deliver', 'drop'] as const),
    ...([
      'duplicate',
      'misdeliver',
      'misdeliver',
      'advance',
      'cut',
      'kill-entry',
      'kill-endpoint',
    ] as const),
  ),
  pick: fc.nat({ max: 10_000 }),
});

const anyAnswerActions = fc.array(anyAnswerAction, { maxLength: 120, size: 'max' });

/**
 * Builds the property of P1: each token is delivered once, in order, from one generation.
 *
 * @param decide - decision under test
 * @returns a fast-check property
 */
export const buildTokensProperty = (decide: DecideDelivery) =>
  buildStreamProperty(['incremental', 'incremental'], anyStreamActions, decide);

/**
 * Builds the property of P5: a finished answer is the complete answer of its own generation.
 *
 * @param decide - decision under test
 * @returns a fast-check property
 */
export const buildAnswersProperty = (decide: DecideDelivery) =>
  buildStreamProperty(['whole', 'incremental', 'whole'], anyAnswerActions, decide);

/** Variant that does not check to which generation an answer belongs. */
export const decideWithoutGenerations: DecideDelivery = (state, event) =>
  decideDelivery(
    state,
    event.kind === 'chunks' || event.kind === 'finished'
      ? { ...event, generationId: state.source?.generationId ?? event.generationId }
      : event,
  );
