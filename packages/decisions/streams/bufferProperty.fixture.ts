import fc from 'fast-check';
import { decideBuffer, initBuffer } from './buffer.js';
import type { BufferEvent, BufferLimits, BufferState } from './bufferTypes.js';

/** Small limits, so that a short run reaches them. */
export const BUFFER_LIMITS = {
  maxChunks: 16,
  maxBytes: 200,
  windowChunks: 5,
  orphans: 'cancelled',
} as const;

const anyReader = fc.record({ stream: fc.constantFrom('a', 'b'), link: fc.nat({ max: 3 }) });
const anyCommand = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('produce' as const), count: fc.nat(3) }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('open' as const),
      identity: anyReader,
      from: fc.nat(40),
    }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant('acknowledge' as const),
      identity: anyReader,
      to: fc.nat(40),
    }),
  },
  fc.record({ kind: fc.constant('close' as const), identity: anyReader }),
  fc.record({ kind: fc.constant('tick' as const), by: fc.nat(6_000) }),
  fc.record({ kind: fc.constantFrom('finish' as const, 'fail' as const) }),
);

/**
 * Builds the property that a buffer stays within its limits and sends each reader its chunks in
 * order.
 *
 * @param orphans - whether a generation without a reader is cancelled or kept
 * @returns a fast-check property that throws with the violation
 */
export const buildBufferProperty = (orphans: BufferLimits['orphans']) =>
  fc.property(fc.array(anyCommand, { maxLength: 80, size: 'max' }), (commands) => {
    let state: BufferState = initBuffer(0, { ...BUFFER_LIMITS, orphans });
    let now = 0;
    let produced = 0;
    const next = new Map<string, number>();
    const apply = (event: BufferEvent): void => {
      const step = decideBuffer(state, event);
      state = step.state;
      for (const effect of step.effects) {
        if (!('stream' in effect)) continue;
        const key = `${effect.stream}${effect.link.toString()}`;
        if (effect.kind === 'send-finished' && next.get(key) !== produced)
          throw new Error('finished before the last chunk');
        if (effect.kind !== 'send-chunks') continue;
        if (next.get(key) !== effect.firstNumber) throw new Error(`gap before reader ${key}`);
        effect.chunks.forEach((chunk, at) => {
          if (chunk !== `chunk ${(effect.firstNumber + at).toString()}`) throw new Error(chunk);
        });
        next.set(key, effect.firstNumber + effect.chunks.length);
      }
      const unacknowledged =
        state.reader === null ? 0 : state.reader.sent - state.reader.acknowledged;
      if (unacknowledged > BUFFER_LIMITS.windowChunks) throw new Error('window exceeded');
      const kept = state.ring.getNext() - state.ring.getFirst();
      const isOver =
        kept > BUFFER_LIMITS.maxChunks || state.ring.getBytes() > BUFFER_LIMITS.maxBytes;
      if (isOver && state.phase === 'generating') throw new Error(`${kept.toString()} chunks kept`);
    };
    for (const command of commands) {
      switch (command.kind) {
        case 'produce': {
          if (state.phase !== 'generating' || state.flow === 'paused') break;
          const chunks = Array.from(
            { length: command.count },
            (_, at) => `chunk ${(produced + at).toString()}`,
          );
          produced += command.count;
          apply({ kind: 'engine-chunks', chunks, now });
          break;
        }
        case 'open': {
          const key = `${command.identity.stream}${command.identity.link.toString()}`;
          const before = next.get(key);
          next.set(key, command.from);
          apply({ kind: 'reader-opened', ...command.identity, fromNumber: command.from, now });
          const isOpen =
            state.reader?.stream === command.identity.stream &&
            state.reader.link === command.identity.link;
          if (before !== undefined && isOpen) next.set(key, state.reader?.sent ?? 0);
          break;
        }
        case 'acknowledge':
          apply({ kind: 'reader-acknowledged', ...command.identity, nextNumber: command.to, now });
          break;
        case 'close':
          apply({ kind: 'reader-closed', ...command.identity, now });
          break;
        case 'tick':
          now += command.by;
          apply({ kind: 'tick', now });
          break;
        case 'finish':
          apply({ kind: 'engine-finished', usage: '', now });
          break;
        case 'fail':
          apply({ kind: 'cancelled', now });
          break;
      }
    }
  });
