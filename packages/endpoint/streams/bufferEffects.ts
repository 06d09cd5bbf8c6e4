import type { Generation, StreamsState } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { GenerationId } from '../../core/ids.js';
import type { BufferEffect, ReaderIdentity } from '../../decisions/streams/bufferTypes.js';
import type { EndpointEffect, WorkOutcome } from '../types.js';

/**
 * Formats the key of a reader.
 *
 * @param identity - stream and link
 * @returns a string that identifies the reader
 */
export const formatReaderKey = ({ stream, link }: ReaderIdentity): string =>
  `${stream}/${link.toString()}`;

/**
 * Builds the effect that reports the outcome of a generation to the admission limit.
 *
 * @param generation - generation that has ended
 * @param result - result of the generation
 * @returns the effect that posts the outcome to the `engine` child
 */
export const buildWorkEnded = (
  generation: Generation,
  result: WorkOutcome['result'],
): EndpointEffect => {
  const { call, startedAt, firstChunkAt, lastChunkAt, chunkCount } = generation;
  const outcome: WorkOutcome = {
    workId: call.generationId,
    customer: call.customer,
    route: call.route,
    className: call.className,
    result,
    firstTokenMs: firstChunkAt === null ? null : firstChunkAt - startedAt,
    tokenGapMsSum: firstChunkAt === null ? 0 : (lastChunkAt ?? firstChunkAt) - firstChunkAt,
    tokenGaps: Math.max(0, chunkCount - 1),
  };
  return { kind: 'post', event: { to: 'engine', kind: 'work-ended', outcome } };
};

/**
 * Translates an effect of a buffer. Messages to a reader whose call has ended are dropped.
 *
 * @param state - state of the `streams` child
 * @param generationId - generation that the buffer belongs to
 * @param effect - effect of the buffer's decision
 * @returns effects of the daemon
 */
export const toEndpointEffects = (
  state: StreamsState,
  generationId: GenerationId,
  effect: BufferEffect,
): readonly EndpointEffect[] => {
  switch (effect.kind) {
    case 'send-chunks': {
      const callId = state.callIds.get(formatReaderKey(effect));
      if (callId === undefined) return [];
      const { firstNumber, chunks } = effect;
      return [{ kind: 'send-chunks', callId, firstNumber, choices: chunks }];
    }
    case 'send-finished': {
      const callId = state.callIds.get(formatReaderKey(effect));
      if (callId === undefined) return [];
      const { chunkCount, usage } = effect;
      const digest = state.generations.get(generationId)?.record?.digest ?? '';
      return [{ kind: 'send-finished', callId, chunkCount, usage, digest }];
    }
    case 'send-failed': {
      const callId = state.callIds.get(formatReaderKey(effect));
      if (callId === undefined) return [];
      return [{ kind: 'send-failure', callId, failure: effect.failure }];
    }
    case 'pause-engine':
      return [{ kind: 'set-engine-flow', generationId, flow: 'paused' }];
    case 'continue-engine':
      return [{ kind: 'set-engine-flow', generationId, flow: 'flowing' }];
    case 'cancel-engine': {
      const generation = state.generations.get(generationId);
      const ended = generation === undefined ? [] : [buildWorkEnded(generation, 'cancelled')];
      return [
        { kind: 'cancel-generation', generationId },
        ...ended,
        {
          kind: 'log',
          name: 'generation-cancelled',
          details: {
            requestId: generation?.call.requestId ?? '',
            data: { generationId },
          },
        },
      ];
    }
    case 'release':
      state.generations.delete(generationId);
      return [];
    default:
      return assertNever(effect);
  }
};
