import { IDLE_MARGIN_MS } from './constants.js';
import type { PacedStream } from '../../core/http/pacing/pacedStream.js';
import { runAfterReads } from '../../core/loop/runAfterReads.js';
import type { Millis } from '../../core/clock.js';

export interface IdleConnections {
  /** Records the idle timeout that the answer to a request states to the caller. */
  readonly recordStatedTimeout: (socket: object, statedMs: Millis) => void;
  /** Handles the expiry of the idle timer of a connection. */
  readonly handleTimeout: (socket: PacedStream) => void;
}

interface StatedTimeout {
  readonly statedMs: Millis;
  /** Time for which the connection has been idle since the answer. */
  idleMs: Millis;
}

/**
 * Closes idle connections so that no request is dropped. The HTTP server alone closes a connection
 * when its timer expires: sooner than the answer stated if a configuration shortened the idle timeout
 * while the request was open, and without reading a request that has already arrived, since timers
 * run before sockets are read.
 *
 * @param onClose - called with each connection that is about to be closed
 * @returns the handler of the idle timers
 */
export const createIdleConnections = (onClose: (socket: PacedStream) => void): IdleConnections => {
  const stated = new WeakMap<object, StatedTimeout>();

  const closeUnlessRead = (socket: PacedStream): void => {
    const { bytesRead } = socket;
    runAfterReads(() => {
      if (socket.destroyed || socket.bytesRead !== bytesRead) return;
      onClose(socket);
      socket.destroy();
    });
  };

  return {
    recordStatedTimeout: (socket, statedMs) => {
      stated.set(socket, { statedMs, idleMs: 0 });
    },
    handleTimeout: (socket) => {
      const timeout = stated.get(socket);
      if (timeout !== undefined) {
        timeout.idleMs += socket.timeout ?? 0;
        const leftMs = timeout.statedMs + IDLE_MARGIN_MS - timeout.idleMs;
        if (leftMs > 0) {
          socket.setTimeout(leftMs);
          return;
        }
      }
      closeUnlessRead(socket);
    },
  };
};
