import { failRequest } from './outcomes.js';
import { placeRequest, updateRequest } from './requestTable.js';
import type { RequestsContext } from './requestTable.js';
import { assertNever } from '../../core/assertNever.js';
import { toStep } from '../../core/step.js';
import type { SuspicionEffect } from '../../decisions/quarantine/types.js';
import type { EntryEffect } from '../events.js';

/** Number of characters of a fingerprint in log events; enough to distinguish two of them. */
const LOGGED_FINGERPRINT_LENGTH = 16;

const appendQuarantine = (
  context: RequestsContext,
  effect: Extract<SuspicionEffect, { readonly kind: 'append-quarantine' }>,
): readonly EntryEffect[] => {
  const { fingerprint, expiresAt } = effect;
  const { inputs } = context;
  return [
    {
      kind: 'post',
      event: {
        to: 'appends',
        kind: 'append-requested',
        stream: 'control',
        record: {
          kind: 'quarantine',
          format: 1,
          entity: fingerprint,
          basedOn: null,
          body: { expiresAt },
          author: inputs.process,
          nonce: inputs.createId(),
        },
        owner: { kind: 'own-record' },
      },
    },
    {
      kind: 'log',
      name: 'request-quarantined',
      details: {
        data: { fingerprint: fingerprint.slice(0, LOGGED_FINGERPRINT_LENGTH), expiresAt },
      },
    },
  ];
};

const handleEffect = (
  context: RequestsContext,
  effect: SuspicionEffect,
): readonly EntryEffect[] => {
  const { inputs } = context;
  switch (effect.kind) {
    case 'append-quarantine':
      return appendQuarantine(context, effect);
    case 'suspect-added': {
      const fingerprint = effect.fingerprint.slice(0, LOGGED_FINGERPRINT_LENGTH);
      return [{ kind: 'log', name: 'request-suspected', details: { data: { fingerprint } } }];
    }
    case 'suspect-cleared':
      return [];
    case 'place-held':
      return updateRequest(context, effect.requestId, (state) =>
        state.waiting === 'held'
          ? placeRequest({ ...state, waiting: 'no' }, inputs)
          : toStep(state),
      );
    case 'refuse-held':
      return updateRequest(context, effect.requestId, (state) =>
        failRequest(state, effect.failure, inputs),
      );
    default:
      return assertNever(effect);
  }
};

/**
 * Maximum number of rounds per event. Placing a held request may release another one, so each round
 * handles the effects that the previous one raised.
 */
const MAX_ROUNDS = 16;

/**
 * Handles the suspicion effects that the decisions about one event produced.
 *
 * @param context - table and queue
 * @returns the effects for the daemon
 */
export const handleSuspicions = (context: RequestsContext): readonly EntryEffect[] => {
  const effects: EntryEffect[] = [];
  for (let round = 0; round < MAX_ROUNDS; round += 1) {
    const raised = context.inputs.suspicions.takeEffects();
    if (raised.length === 0) return effects;
    effects.push(...raised.flatMap((effect) => handleEffect(context, effect)));
  }
  return effects;
};
