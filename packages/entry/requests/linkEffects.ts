import type { RequestsInputs } from './inputs.js';
import type { GenerationState, RequestPlacement } from './types.js';
import type { GenerationId } from '../../core/ids.js';
import type { SendPermit } from '../../decisions/retries/types.js';
import type { DeliveryEffect } from '../../decisions/streams/types.js';
import type { EntryEffect } from '../events.js';

/**
 * Builds the effect that starts a generation at its endpoint.
 *
 * @param state - generation
 * @param placement - chosen endpoint
 * @param generationId - new id
 * @param nonce - nonce of a generation that runs at most once, else null
 * @param permit - permission to send the attempt
 * @returns the effect that opens the first link
 */
export const buildStartEffect = (
  state: GenerationState,
  placement: RequestPlacement,
  generationId: GenerationId,
  nonce: string | null,
  permit: SendPermit,
): EntryEffect => {
  const { request, policy } = state;
  if (request.kind === 'resume') throw new Error('a resumed stream cannot start a generation');
  return {
    kind: 'open-generation',
    open: {
      requestId: request.requestId,
      generationId,
      link: 0,
      url: placement.url,
      mode: 'start',
      fromNumber: 0,
      incarnation: placement.incarnation,
      customer: request.customer,
      className: policy.className,
      route: 'chat',
      importance: policy.importance,
      permit,
      fingerprint: request.fingerprint,
      promptTokens: request.promptTokens,
      nonce,
      body: request.body,
    },
  };
};

/**
 * Builds the effects that resume a generation on a new link.
 *
 * @param state - generation
 * @param effect - resume that the stream requested
 * @param inputs - owner of the sends
 * @returns effects that close the previous link, log the resume and open the new link
 */
export const buildResumeEffects = (
  state: GenerationState,
  effect: Extract<DeliveryEffect, { readonly kind: 'resume' }>,
  inputs: RequestsInputs,
): readonly EntryEffect[] => {
  const { request, policy, placement } = state;
  const { source, fromNumber, link } = effect;
  const { generationId } = source;
  const opened: EntryEffect = {
    kind: 'open-generation',
    open: {
      requestId: request.requestId,
      generationId,
      link,
      url: placement?.url ?? '',
      mode: 'resume',
      fromNumber,
      incarnation: source.incarnation,
      customer: request.customer,
      className: policy.className,
      route: 'chat',
      importance: policy.importance,
      permit: inputs.sends.issueResumePermit(state.attempts, state.deadlineAt),
      fingerprint: request.fingerprint,
      promptTokens: 0,
      nonce: null,
      body: new Uint8Array(),
    },
  };
  const logged: EntryEffect = {
    kind: 'log',
    name: 'stream-resumed',
    details: {
      requestId: request.requestId,
      endpoint: source.endpoint,
      sent: `${generationId}/${link.toString()}`,
      data: { fromNumber, link },
    },
  };
  const closed: EntryEffect = { kind: 'close-link', generationId, link: link - 1 };
  return link === 0 ? [logged, opened] : [closed, logged, opened];
};
