import { connect, createServer } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { LINK_DELAY_MS } from './constants.js';
import type { LinkMode } from './types.js';
import { assertNever } from '../core/assertNever.js';

/** Address of a listener on loopback. */
export interface LinkAddress {
  readonly host: string;
  readonly port: number;
}

/** Proxy for the connections of one link. */
export interface LinkProxy {
  readonly address: LinkAddress;
  readonly setMode: (mode: LinkMode) => void;
  readonly setTarget: (target: LinkAddress) => void;
  readonly close: () => void;
}

type Direction = 'request' | 'answer';

const isHeld = (mode: LinkMode, direction: Direction): boolean => {
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
 * Starts a proxy. Bytes that are held back while a link is silent are never delivered: the connection
 * stays open and silent, as after a partition whose sender gave up.
 *
 * @param first - where connections go at the start
 * @param host - loopback address to listen on
 * @returns the running proxy
 */
export const startLinkProxy = async (first: LinkAddress, host: string): Promise<LinkProxy> => {
  let target = first;
  let mode: LinkMode = 'pass';
  const open = new Set<Socket>();
  /** Connections that lost bytes, and stay silent. */
  const silent = new WeakSet<Socket>();

  const carry = (from: Socket, to: Socket, direction: Direction): void => {
    // What comes after delayed bytes waits behind them, whatever the mode is by then.
    let last: Promise<void> = Promise.resolve();
    const deliver = (action: () => void): void => {
      const delayed = mode === 'delay' ? sleep(LINK_DELAY_MS) : Promise.resolve();
      last = Promise.all([last, delayed]).then(action);
    };
    from.on('data', (bytes: Buffer) => {
      if (isHeld(mode, direction)) silent.add(from);
      if (silent.has(from)) return;
      deliver(() => {
        if (to.writable) to.write(bytes);
      });
    });
    from.on('end', () => {
      if (!silent.has(from) && !isHeld(mode, direction)) deliver(() => to.end());
    });
    // A reset is passed on by the end of the connection.
    from.on('error', () => undefined);
    from.on('close', (hadError) => {
      open.delete(from);
      const isSilent = silent.has(from) || isHeld(mode, direction);
      if (hadError && !isSilent) deliver(() => to.resetAndDestroy());
    });
  };

  const server = createServer({ allowHalfOpen: true, noDelay: true }, (caller) => {
    if (mode === 'reset') {
      caller.resetAndDestroy();
      return;
    }
    const callee = connect({ ...target, allowHalfOpen: true, noDelay: true });
    open.add(caller);
    open.add(callee);
    carry(caller, callee, 'request');
    carry(callee, caller, 'answer');
  });
  await new Promise<void>((resolve) => {
    server.listen(0, host, resolve);
  });
  const bound = server.address();
  const port = typeof bound === 'object' && bound !== null ? bound.port : 0;
  return {
    address: { host, port },
    setMode: (next) => {
      mode = next;
      if (mode !== 'reset') return;
      for (const socket of open) socket.resetAndDestroy();
    },
    setTarget: (next) => {
      target = next;
    },
    close: () => {
      server.close();
      for (const socket of open) socket.destroy();
    },
  };
};
