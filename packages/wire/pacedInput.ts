import type { Socket } from 'node:net';
import { INPUT_STEP_BYTES, STALLED_INPUT_MS } from './constants.js';
import { createHeldBytes } from '../core/http/pacing/heldBytes.js';
import { createPacedStream } from '../core/http/pacing/pacedStream.js';
import type { PacedStream } from '../core/http/pacing/pacedStream.js';
import type { TurnQueue } from '../core/loop/turnQueue.js';

/**
 * Creates the stream that stands for a connection towards the HTTP/2 server. The connection is not read
 * on while bytes of it wait for their turn, so that its sender waits. Otherwise each connection turns
 * what it has read into calls before the end of any call is handled, so that calls which are reset at
 * once fill the memory.
 *
 * @param socket - accepted connection
 * @param turns - steps of all connections of the listener
 * @returns the stream
 */
export const createPacedInput = (socket: Socket, turns: TurnQueue): PacedStream => {
  const held = createHeldBytes();
  const stream = createPacedStream(socket, held.countBytes);
  let input: 'open' | 'ending' | 'ended' = 'open';

  const finishInput = (): void => {
    if (held.countBytes() > 0 || input === 'ended') return;
    if (input === 'open') {
      socket.resume();
      return;
    }
    input = 'ended';
    stream.push(null);
  };

  const canTake = (): boolean => !stream.destroyed && stream.readableFlowing === true;

  const handOn = (): void => {
    const first = held.getFirst();
    if (first === undefined || !canTake()) return;
    stream.push(held.take(Math.min(INPUT_STEP_BYTES, first.bytes.length)));
    finishInput();
    if (held.countBytes() > 0 && canTake()) turns.run(handOn);
  };

  socket.on('data', (bytes: Buffer) => {
    held.append(bytes, 0);
    socket.pause();
    turns.run(handOn);
  });
  socket.on('end', () => {
    input = 'ending';
    finishInput();
  });
  let stalled: NodeJS.Timeout | null = null;
  const clearStalled = (): void => {
    if (stalled !== null) clearTimeout(stalled);
    stalled = null;
  };
  stream.on('pause', () => {
    stalled ??= setTimeout(() => {
      socket.destroy();
    }, STALLED_INPUT_MS);
  });
  stream.on('resume', () => {
    clearStalled();
    turns.run(handOn);
  });
  stream.on('close', () => {
    clearStalled();
    held.limitTo(0);
  });
  return stream;
};
