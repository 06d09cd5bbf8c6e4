import type { PendingRequests } from './pendingRequests.js';
import type { Answer, ReplyId } from './pendingRequests.js';
import type { Listener } from './listener.js';
import type { Standin } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { Clock, Millis } from '../../core/clock.js';
import type { Loop } from '../../core/loop/types.js';
import { createDaemon } from '../../core/supervision/daemon.js';
import { startSupervisor } from '../../core/supervision/supervisor.js';
import type { ChildSpec, RunningChild } from '../../core/supervision/types.js';

/** Effects that all stand-ins share. */
export type CommonEffect<Event> =
  | { readonly kind: 'answer'; readonly reply: ReplyId; readonly answer: Answer }
  /** Closes the connection of a request without an answer. */
  | { readonly kind: 'drop'; readonly reply: ReplyId }
  | { readonly kind: 'schedule'; readonly delayMs: Millis; readonly event: Event }
  /** Closes every connection and drops new requests for `downMs`. */
  | { readonly kind: 'crash'; readonly downMs: Millis }
  /** Delays every request until `forMs` have passed. */
  | { readonly kind: 'freeze'; readonly forMs: Millis };

/** Adapters that carry out the common effects. */
export interface CommonAdapters<Event> {
  readonly pendingRequests: PendingRequests;
  readonly listener: Listener;
  readonly loop: Loop<Event>;
}

/** Event loop and supervisor tree of a tool, such as a stand-in or the load generator. */
export interface RoutedDaemon<Event> {
  readonly post: (event: Event) => void;
  readonly start: () => void;
  readonly stop: () => void;
}

/** Settings of a routed daemon; each event goes to the child that its `to` names. */
export interface RoutedDaemonOptions<Event extends { readonly to: string }, Effect> {
  readonly name: string;
  readonly clock: Clock;
  readonly children: readonly ChildSpec<Event, Effect>[];
  readonly perform: (effect: Effect, loop: Loop<Event>) => void;
}

/**
 * Carries out an effect that all stand-ins share.
 *
 * @param effect - effect of a decision
 * @param adapters - waiting requests, HTTP server and event loop
 */
export const performCommonEffect = <Event>(
  effect: CommonEffect<Event>,
  { pendingRequests, listener, loop }: CommonAdapters<Event>,
): void => {
  switch (effect.kind) {
    case 'answer':
      pendingRequests.answer(effect.reply, effect.answer);
      return;
    case 'drop':
      pendingRequests.drop(effect.reply);
      return;
    case 'schedule':
      loop.schedule(effect.delayMs, effect.event);
      return;
    case 'crash':
      listener.crash(effect.downMs);
      return;
    case 'freeze':
      listener.freeze(effect.forMs);
      return;
    default:
      assertNever(effect);
  }
};

const failWith = (error: unknown): never => {
  throw error;
};

/** Starts the supervisor tree. A failed child is a defect of the tool, so it ends the process. */
const startRoot = <Event extends { readonly to: string }, Effect>(
  options: RoutedDaemonOptions<Event, Effect>,
): RunningChild<Event, Effect> =>
  startSupervisor<Event, Effect>(
    {
      name: options.name,
      strategy: 'one-for-one',
      intensity: { restarts: 0, withinMs: 1_000 },
      children: options.children,
      route: (event) => event.to,
    },
    options.clock,
    ({ error }) => failWith(error),
  );

/**
 * Creates the event loop and the supervisor tree of a tool.
 *
 * @param options - name, clock, children and the function that carries out their effects
 * @returns the daemon, not yet started
 */
export const createRoutedDaemon = <Event extends { readonly to: string }, Effect>(
  options: RoutedDaemonOptions<Event, Effect>,
): RoutedDaemon<Event> => {
  const daemon = createDaemon<Event, Effect>({
    classify: () => 'control',
    startRoot: () => startRoot(options),
    perform: (effect) => {
      options.perform(effect, daemon.loop);
    },
    onFault: failWith,
  });
  return {
    post: (event) => {
      daemon.loop.post(event);
    },
    start: daemon.start,
    stop: daemon.stop,
  };
};

/**
 * Starts a stand-in and its HTTP server.
 *
 * @param daemon - event loop and supervisor tree
 * @param listener - HTTP server with its routes
 * @param port - port on 127.0.0.1; 0 picks a free one
 * @returns the running stand-in
 */
export const startStandin = async <Event>(
  daemon: RoutedDaemon<Event>,
  listener: Listener,
  port: number,
): Promise<Standin> => {
  daemon.start();
  await listener.open(port);
  return {
    url: listener.getUrl(),
    close: async () => {
      daemon.stop();
      await listener.close();
    },
  };
};
