import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

/** Stand-in for the platform's load balancer: it forwards TCP connections without parsing them. */
export interface Balancer {
  readonly url: string;
  readonly close: () => Promise<void>;
}

export interface BalancerOptions {
  /** Port on 127.0.0.1; 0 selects a free port. */
  readonly port: number;
  /** Lists the addresses that currently accept connections. */
  readonly listTargets: () => readonly string[];
}

/** Pipes two connections into each other; a half-close is passed on, and an error closes both. */
const connectSockets = (caller: Socket, target: Socket): void => {
  caller.pipe(target);
  target.pipe(caller);
  caller.on('error', () => target.destroy());
  target.on('error', () => caller.destroy());
  caller.on('close', () => target.destroy());
  target.on('close', () => caller.destroy());
};

/**
 * Starts the balancer. It distributes connections round-robin and skips targets that refuse a
 * connection.
 *
 * @param options - port and targets
 * @returns the running balancer
 * @throws Error when the port cannot be opened
 */
export const startBalancer = async ({ port, listTargets }: BalancerOptions): Promise<Balancer> => {
  const callers = new Set<Socket>();
  let nextIndex = 0;

  const forward = (caller: Socket, targets: readonly string[]): void => {
    const [first, ...rest] = targets;
    if (first === undefined) {
      // Resets the connection: clients take a plain close for an idle timeout and reconnect.
      caller.resetAndDestroy();
      return;
    }
    const { hostname, port: targetPort } = new URL(first);
    const target = connect({ host: hostname, port: Number(targetPort), allowHalfOpen: true });
    const tryNext = (): void => {
      forward(caller, rest);
    };
    target.once('error', tryNext);
    target.once('connect', () => {
      target.off('error', tryNext);
      connectSockets(caller, target);
    });
  };

  const server = createServer({ allowHalfOpen: true }, (caller) => {
    callers.add(caller);
    caller.once('close', () => callers.delete(caller));
    // A caller may reset its connection before it is connected to a target.
    caller.on('error', () => undefined);
    const targets = listTargets();
    const start = targets.length === 0 ? 0 : nextIndex % targets.length;
    nextIndex += 1;
    forward(caller, [...targets.slice(start), ...targets.slice(0, start)]);
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen({ host: '127.0.0.1', port }, resolve);
  });
  const address = server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${address.port.toString()}`,
    close: () =>
      new Promise((resolve) => {
        for (const caller of callers) caller.destroy();
        server.close(() => {
          resolve();
        });
      }),
  };
};
