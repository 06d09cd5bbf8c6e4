import type { EndpointCompletion } from './endpointMessages.js';
import type { RequestsInputs } from './inputs.js';
import type { GenerationState } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import { createFailure } from '../../core/verdict.js';
import type { DeliveryEvent } from '../../decisions/streams/types.js';
import type { EntryEffect } from '../events.js';

/** Completions that belong to a link of a generation. */
export type LinkCompletion = Extract<
  EndpointCompletion,
  {
    readonly kind:
      'link-opened' | 'chunks-received' | 'generation-finished' | 'generation-failed' | 'link-lost';
  }
>;

/**
 * Converts a completion of a link into an event of the stream.
 *
 * @param state - generation
 * @param completion - completion received from the endpoint daemon
 * @param inputs - clock
 * @returns the event
 */
export const toDeliveryEvent = (
  state: GenerationState,
  completion: LinkCompletion,
  inputs: RequestsInputs,
): DeliveryEvent => {
  const { generationId, link } = completion;
  const now = inputs.now();
  switch (completion.kind) {
    case 'link-opened':
      return { kind: 'link-opened', generationId, link };
    case 'chunks-received': {
      const { firstNumber, choices } = completion;
      return { kind: 'chunks', generationId, link, firstNumber, chunks: choices, now };
    }
    case 'generation-finished': {
      const { chunkCount, usage } = completion;
      return { kind: 'finished', generationId, link, chunkCount, usage, now };
    }
    case 'generation-failed':
      return { kind: 'failed', generationId, link, failure: completion.failure };
    case 'link-lost': {
      const isUnsent = completion.sent === 'unsent' && link === 0 && state.delivery.next === 0;
      if (!isUnsent) return { kind: 'link-lost', generationId, link, now };
      const failure = createFailure('not-run', 'endpoint-lost', completion.reason);
      return { kind: 'failed', generationId, link, failure };
    }
    default:
      return assertNever(completion);
  }
};

/**
 * Reports that the endpoint began to answer, so that it did not crash on the content of the request.
 *
 * @param state - generation whose chunks were received
 * @param inputs - suspicions
 */
export const reportAnswered = ({ request }: GenerationState, inputs: RequestsInputs): void => {
  const { requestId } = request;
  inputs.suspicions.apply({ kind: 'attempt-answered', requestId, now: inputs.now() });
};

/**
 * Measures the latency of received chunks, and logs a stall when the gap before them reached the
 * stall threshold of the class.
 *
 * @param state - generation before the chunks
 * @param count - number of chunks
 * @param inputs - clock and placements of this daemon
 * @returns the state with updated chunk times, and the effects that record the measurements
 */
export const measureChunks = (
  state: GenerationState,
  count: number,
  inputs: RequestsInputs,
): { readonly state: GenerationState; readonly effects: readonly EntryEffect[] } => {
  const now = inputs.now();
  const { className, stallMs } = state.policy;
  const next = { ...state, firstChunkAt: state.firstChunkAt ?? now, lastChunkAt: now };
  inputs.placements.updateProgress(state.request.requestId, state.delivery.next + count);
  if (state.lastChunkAt === null) {
    const duration = now - state.request.receivedAt;
    return {
      state: next,
      effects: [{ kind: 'record-latency', name: 'first_token_ms', className, duration }],
    };
  }
  const gap = now - state.lastChunkAt;
  const measured: EntryEffect = {
    kind: 'record-latency',
    name: 'token_gap_ms',
    className,
    duration: gap,
  };
  if (gap < stallMs) return { state: next, effects: [measured] };
  const stalled: EntryEffect = {
    kind: 'log',
    name: 'stream-stalled',
    details: {
      requestId: state.request.requestId,
      ...(state.placement === null ? {} : { endpoint: state.placement.endpoint }),
      data: {
        stallMs: Math.round(gap),
        cause: state.delivery.outage === null ? 'engine' : 'link',
      },
    },
  };
  return { state: next, effects: [measured, stalled] };
};
