import { connect, createServer } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { LINK_DELAY_MS } from './constants.js';
import type { LinkMode } from './types.js';
import { assertNever } from '../core/assertNever.js';
import type { Millis } from '../core/clock.js';
import { openFreePort } from '../standins/common/openFreePort.js';

/** Loopback address and port of a listener. */
export interface LinkAddress {
  readonly host: string;
  readonly port: number;
}

/** Proxy that injects faults into the connections of one link. */
export interface LinkProxy {
  readonly address: LinkAddress;
  /** Applies to open and new connections. */
  readonly setMode: (mode: LinkMode) => void;
  /** Delivers no answer for the duration, and then all that were held back. */
  readonly holdAnswers: (durationMs: Millis) => void;
  /** Lets all open connections fall silent for good, without a reset; new ones work. */
  readonly silenceOpen: () => void;
  /** Applies to new connections only. */
  readonly setTarget: (target: LinkAddress) => void;
  readonly close: () => void;
}

type Direction = 'request' | 'answer';

/**
 * Reports whether a connection was reset, in its `end` event. The runtime reports a reset that comes
 * together with bytes as an end; only an ended connection still has a peer. Any earlier read of
 * `remoteAddress` would be cached.
 *
 * @param socket - connection that has just ended
 * @returns whether the peer reset it
 */
export const isReset = (socket: Socket): boolean => socket.remoteAddress === undefined;

const isDropped = (mode: LinkMode, direction: Direction): boolean => {
  switch (mode) {
    case 'pass':
    case 'delay':
    case 'reset':
      return false;
    case 'silence':
      return true;
    case 'one-way':
      return direction === 'answer';
    default:
      return assertNever(mode);
  }
};

/**
 * Starts a proxy. Bytes that it drops are never delivered later: the connection stays open without
 * traffic, as after a partition whose sender stopped retransmitting.
 *
 * @param initialTarget - listener that connections are forwarded to at first
 * @param host - loopback address to listen on
 * @returns the running proxy
 */
export const startLinkProxy = async (
  initialTarget: LinkAddress,
  host: string,
): Promise<LinkProxy> => {
  let target = initialTarget;
  let mode: LinkMode = 'pass';
  let released: Promise<unknown> = Promise.resolve();
  const openSockets = new Set<Socket>();
  /** Sockets whose received bytes were dropped; nothing they send is delivered any more. */
  const silencedSockets = new WeakSet<Socket>();

  const transfer = (from: Socket, to: Socket, direction: Direction): void => {
    // Later bytes wait for delayed ones even if the mode has changed, so that they stay in order.
    let lastDelivery: Promise<void> = Promise.resolve();
    const deliver = (action: () => void): void => {
      const delay = mode === 'delay' ? sleep(LINK_DELAY_MS) : Promise.resolve();
      const hold = direction === 'answer' ? released : Promise.resolve();
      lastDelivery = Promise.all([lastDelivery, delay, hold]).then(action);
    };
    from.on('data', (bytes: Buffer) => {
      if (isDropped(mode, direction)) silencedSockets.add(from);
      if (silencedSockets.has(from)) return;
      deliver(() => {
        if (to.writable) to.write(bytes);
      });
    });
    from.on('end', () => {
      if (silencedSockets.has(from) || isDropped(mode, direction)) return;
      const wasReset = isReset(from);
      deliver(() => (wasReset ? to.resetAndDestroy() : to.end()));
    });
    // The 'close' handler propagates a reset.
    from.on('error', () => undefined);
    from.on('close', (hadError) => {
      openSockets.delete(from);
      const isSilent = silencedSockets.has(from) || isDropped(mode, direction);
      if (hadError && !isSilent) deliver(() => to.resetAndDestroy());
    });
  };

  const server = createServer({ allowHalfOpen: true, noDelay: true }, (incoming) => {
    if (mode === 'reset') {
      incoming.resetAndDestroy();
      return;
    }
    const outgoing = connect({ ...target, allowHalfOpen: true, noDelay: true });
    openSockets.add(incoming);
    openSockets.add(outgoing);
    transfer(incoming, outgoing, 'request');
    transfer(outgoing, incoming, 'answer');
  });
  const port = await openFreePort(server, host);
  return {
    address: { host, port },
    setMode: (next) => {
      mode = next;
      if (mode !== 'reset') return;
      for (const socket of openSockets) socket.resetAndDestroy();
    },
    holdAnswers: (durationMs) => {
      released = Promise.all([released, sleep(durationMs)]);
    },
    silenceOpen: () => {
      for (const socket of openSockets) silencedSockets.add(socket);
    },
    setTarget: (next) => {
      target = next;
    },
    close: () => {
      server.close();
      for (const socket of openSockets) socket.destroy();
    },
  };
};
