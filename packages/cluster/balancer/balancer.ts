import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

/** Stand-in of the platform's balancer: it forwards TCP connections and reads nothing of them. */
export interface Balancer {
  readonly url: string;
  readonly close: () => Promise<void>;
}

export interface BalancerOptions {
  /** Port on 127.0.0.1; 0 takes a free one. */
  readonly port: number;
  /** Addresses that take new connections now. */
  readonly listTargets: () => readonly string[];
}

/** Joins two connections; the end of one half goes through, and an error ends both. */
const connectSockets = (caller: Socket, target: Socket): void => {
  caller.pipe(target);
  target.pipe(caller);
  caller.on('error', () => target.destroy());
  target.on('error', () => caller.destroy());
  caller.on('close', () => target.destroy());
  target.on('close', () => caller.destroy());
};

/**
 * Starts the balancer. Connections go to the targets in turn; one that refuses the connection is
 * passed over.
 *
 * @param options - port and targets
 * @returns the running balancer
 */
export const startBalancer = async ({ port, listTargets }: BalancerOptions): Promise<Balancer> => {
  const callers = new Set<Socket>();
  let nextIndex = 0;

  const forward = (caller: Socket, targets: readonly string[]): void => {
    const [first, ...rest] = targets;
    if (first === undefined) {
      // A plain close would look like an idle connection's end, after which clients connect again.
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
    // A caller may reset its connection before a target took it.
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
