import { fork } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { subscribe, unsubscribe } from 'node:diagnostics_channel';
import { once } from 'node:events';
import type { Socket } from 'node:net';
import { fileURLToPath } from 'node:url';
import { getProcessorTime } from '../sampling/duration.js';
import type { Experiment } from '../types.js';
import { decideDelta } from '../../decisions/configuration/exchange.js';
import { createConfiguration } from '../../decisions/configuration/fold.js';
import { createHeartbeatServer } from '../../entry/membership/heartbeatServer.js';
import { createMembershipLogic } from '../../entry/membership/membership.js';

/** Command to the process that sends the heartbeats. */
export type SenderCommand =
  | { readonly kind: 'connect'; readonly endpoints: number }
  | { readonly kind: 'send-rounds'; readonly url: string; readonly rounds: number }
  | { readonly kind: 'close' };

export interface SenderReport {
  readonly kind: 'done';
}

/** Minimum number of heartbeats in a measurement; small fleets send them over several rounds. */
const HEARTBEATS_PER_MEASUREMENT = 4_096;
const SOCKET_CHANNEL = 'net.server.socket';

interface Traffic {
  readonly received: number;
  readonly sent: number;
}

/** Tracks the connections that this process accepts, to count their bytes. */
const trackSockets = () => {
  const sockets: Socket[] = [];
  const collectSocket = (message: unknown): void => {
    sockets.push((message as { readonly socket: Socket }).socket);
  };
  subscribe(SOCKET_CHANNEL, collectSocket);
  return {
    countTraffic: (): Traffic => ({
      received: sockets.reduce((sum, socket) => sum + socket.bytesRead, 0),
      sent: sockets.reduce((sum, socket) => sum + socket.bytesWritten, 0),
    }),
    stop: () => unsubscribe(SOCKET_CHANNEL, collectSocket),
  };
};

const createHeartbeatReceiver = () => {
  const configuration = createConfiguration();
  const logic = createMembershipLogic({
    now: () => performance.now(),
    getDelta: (offset) => decideDelta(configuration, offset),
  });
  let { state } = logic.init();
  const server = createHeartbeatServer((heartbeatId, heartbeat) => {
    const event = { to: 'membership', kind: 'heartbeat-received', heartbeatId, heartbeat } as const;
    const step = logic.decide(state, event);
    state = step.state;
    for (const effect of step.effects) {
      if (effect.kind !== 'reply-heartbeat') continue;
      queueMicrotask(() => {
        server.replyHeartbeat(effect.heartbeatId, effect.reply);
      });
    }
    return 'queued';
  });
  return server;
};

const performCommand = async (child: ChildProcess, command: SenderCommand): Promise<void> => {
  const done = once(child, 'message');
  child.send(command);
  await done;
};

const measureCalls = async (endpoints: number) => {
  const socketTracker = trackSockets();
  const server = createHeartbeatReceiver();
  const url = await server.listen('127.0.0.1', 0);
  const child = fork(fileURLToPath(new URL('./heartbeatSender.js', import.meta.url)), {
    execArgv: [],
  });
  await performCommand(child, { kind: 'connect', endpoints });
  await performCommand(child, { kind: 'send-rounds', url, rounds: 2 });
  const rounds = Math.ceil(HEARTBEATS_PER_MEASUREMENT / endpoints);
  const before = socketTracker.countTraffic();
  const startedAt = getProcessorTime();
  await performCommand(child, { kind: 'send-rounds', url, rounds });
  const processorTime = getProcessorTime() - startedAt;
  const after = socketTracker.countTraffic();
  const ended = once(child, 'exit');
  child.send({ kind: 'close' } satisfies SenderCommand);
  await ended;
  await server.close();
  socketTracker.stop();
  return {
    'heartbeat.rpc-time': processorTime / rounds,
    'heartbeat.rpc-received': (after.received - before.received) / rounds,
    'heartbeat.rpc-sent': (after.sent - before.sent) / rounds,
  };
};

/**
 * Rounds of one heartbeat from each endpoint over loopback; only the processor time of the
 * receiving process is counted.
 */
export const HEARTBEAT_CALL_EXPERIMENTS: readonly Experiment[] = [
  { name: 'heartbeat calls', sizes: [8, 64, 512, 2_048], measure: measureCalls },
];
