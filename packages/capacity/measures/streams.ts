import { measureDuration } from '../sampling/duration.js';
import { measureMemory } from '../sampling/memory.js';
import type { Experiment } from '../types.js';
import { createId } from '../../core/ids.js';
import { decideBuffer, DEFAULT_BUFFER_LIMITS, initBuffer } from '../../decisions/streams/buffer.js';
import type { BufferEvent, BufferState } from '../../decisions/streams/bufferTypes.js';
import { decideDelivery, initDelivery } from '../../decisions/streams/delivery.js';
import type { DeliveryState, GenerationSource } from '../../decisions/streams/types.js';

const NOW = 1_800_000_000_000;

/** Builds the chunk of one token, in the form of the engine's `choices` list. */
const buildChunk = (number: number): string =>
  `[{"index":0,"delta":{"content":" token${number.toString()}"},"finish_reason":null}]`;

const buildSource = (): GenerationSource => ({
  generationId: createId(),
  endpoint: `worker-${createId().slice(-5)}`,
  incarnation: createId(),
});

const receiveChunk = (
  state: DeliveryState,
  source: GenerationSource,
  number: number,
  chunk: string,
): DeliveryState =>
  decideDelivery(state, {
    kind: 'chunks',
    generationId: source.generationId,
    link: 0,
    firstNumber: number,
    chunks: [chunk],
    now: NOW,
  }).state;

const startDelivery = (source: GenerationSource): DeliveryState =>
  decideDelivery(initDelivery('incremental'), { kind: 'attempt-started', source }).state;

const applyEvents = (state: BufferState, ...events: readonly BufferEvent[]): BufferState =>
  events.reduce((current, event) => decideBuffer(current, event).state, state);

const openBuffer = (stream: string): BufferState =>
  applyEvents(initBuffer(NOW, DEFAULT_BUFFER_LIMITS), {
    kind: 'reader-opened',
    stream,
    link: 0,
    fromNumber: 0,
    now: NOW,
  });

const measureStreamStates = (streams: number) => {
  const deliveries = measureMemory(() => {
    const states = new Map<string, DeliveryState>();
    for (let index = 0; index < streams; index += 1) {
      const source = buildSource();
      states.set(source.generationId, receiveChunk(startDelivery(source), source, 0, 'x'));
    }
    return states;
  });
  const buffers = measureMemory(() => {
    const states = new Map<string, BufferState>();
    for (let index = 0; index < streams; index += 1) states.set(createId(), openBuffer(createId()));
    return states;
  });
  // Using both tables here keeps them from being collected before they are measured.
  if (deliveries.state.size !== buffers.state.size) throw new Error('a stream is missing');
  return { 'stream.delivery-state': deliveries.bytes, 'stream.buffer-state': buffers.bytes };
};

const measureChunks = (count: number) => {
  const chunks = Array.from({ length: count }, (_, number) => buildChunk(number));
  const source = buildSource();
  return {
    'stream.delivery-time': measureDuration(() => {
      let state = startDelivery(source);
      for (const [number, chunk] of chunks.entries()) {
        state = receiveChunk(state, source, number, chunk);
      }
    }),
    'stream.buffer-time': measureDuration(() => {
      let state = openBuffer('stream');
      for (const [number, chunk] of chunks.entries()) {
        state = applyEvents(
          state,
          { kind: 'engine-chunks', chunks: [chunk], now: NOW },
          {
            kind: 'reader-acknowledged',
            stream: 'stream',
            link: 0,
            nextNumber: number + 1,
            now: NOW,
          },
        );
      }
    }),
  };
};

const measureKeptChunks = (count: number) => {
  const kept = measureMemory(() => {
    let state = openBuffer('stream');
    for (let number = 0; number < count; number += 1) {
      state = applyEvents(
        state,
        {
          kind: 'engine-chunks',
          chunks: [JSON.parse(JSON.stringify(buildChunk(number))) as string],
          now: NOW,
        },
        {
          kind: 'reader-acknowledged',
          stream: 'stream',
          link: 0,
          nextNumber: number + 1,
          now: NOW,
        },
      );
    }
    return state;
  });
  if (kept.state.ring.getNext() !== count) throw new Error('a chunk is missing');
  return { 'stream.buffer-chunk-state': kept.bytes };
};

/** Streams of generations in the decisions of the entry and the endpoint daemon. */
export const STREAM_EXPERIMENTS: readonly Experiment[] = [
  { name: 'stream state', sizes: [500, 2_000, 8_000], measure: measureStreamStates },
  { name: 'stream chunks', sizes: [1_000, 4_000, 16_000], measure: measureChunks },
  { name: 'kept chunks', sizes: [512, 1_024, 2_048, 4_096], measure: measureKeptChunks },
];
