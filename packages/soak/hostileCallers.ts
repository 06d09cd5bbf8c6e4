import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import type { LinkAddress } from './linkProxy.js';
import type { Soak } from './soakState.js';
import type { HostileBehaviour, HostileCalls } from './types.js';
import { assertNever } from '../core/assertNever.js';

/** Bytes of a head that never ends. */
const PARTIAL_HEAD_BYTES = 12_000;

/** Interval at which slow readers read, in ms, and the buffer that they leave to the kernel, in bytes. */
const SLOW_READ_MS = 250;
const SLOW_BUFFER_BYTES = 16;

/** Deadline that the requests state, in ms, so that some still wait when their connections close. */
const DEADLINE_MS = 10_000;

/** Lets a caller read a few bytes at a time. */
const readSlowly = (socket: Socket): void => {
  socket.on('readable', () => {
    // Reading goes on with the timer alone.
  });
  const timer = setInterval(() => socket.read(SLOW_BUFFER_BYTES) as unknown, SLOW_READ_MS);
  socket.once('close', () => {
    clearInterval(timer);
  });
};

const startReading = (socket: Socket, behaviour: HostileBehaviour): void => {
  switch (behaviour) {
    case 'pipeline-read':
      socket.resume();
      return;
    case 'slow-reader':
      readSlowly(socket);
      return;
    case 'pipeline-unread':
    case 'partial-head':
      socket.pause();
      return;
    default:
      assertNever(behaviour);
  }
};

/** Builds the bytes that a caller sends. */
const buildBytes = (
  soak: Soak,
  { behaviour, credential, requestsEach }: HostileCalls,
  idPrefix: string,
  key: string,
): string => {
  const isStream = behaviour === 'slow-reader';
  const requests = Array.from({ length: requestsEach }, (_, index) => {
    const { headers, method, path } = soak.platform.buildCall({
      id: `${idPrefix}-${index.toString()}`,
      kind: isStream ? 'generation' : 'idempotent',
      pace: 'quick',
      key,
      timeoutMs: DEADLINE_MS,
    });
    const lines = Object.entries(headers)
      .filter(([, value]) => credential === 'keyed' || value !== key)
      .map(([name, value]) => `${name}: ${value}`);
    return `${method} ${path} HTTP/1.1\r\n${lines.join('\r\n')}\r\ncontent-length: 0\r\n`;
  });
  return behaviour === 'partial-head'
    ? `${requests.join('')}x-filler: ${'x'.repeat(PARTIAL_HEAD_BYTES)}`
    : requests.map((request) => `${request}\r\n`).join('');
};

const openCaller = (
  { host, port }: LinkAddress,
  behaviour: HostileBehaviour,
  bytes: string,
): Socket => {
  const socket = connect({ host, port, noDelay: true });
  // A gateway may reset the connection of such a caller at any time.
  socket.on('error', () => undefined);
  socket.once('connect', () => {
    socket.write(bytes);
    startReading(socket, behaviour);
  });
  return socket;
};

/**
 * Opens the connections of hostile callers to one gateway, and closes those that are left at the end.
 *
 * @param soak - running soak
 * @param calls - what the callers do
 * @returns resolves when all connections are closed
 */
export const runHostileCalls = async (soak: Soak, calls: HostileCalls): Promise<void> => {
  const { clock, gateways, hosts, hostileGroups, platform } = soak;
  const key = platform.listKeys()[0]?.key ?? '';
  const idPrefix = `h${hostileGroups.length.toString()}`;
  const group = {
    idPrefix,
    gateway: calls.gateway,
    incarnation: gateways[calls.gateway]?.getIncarnation() ?? 0,
    sentAt: clock.now(),
    closedAt: Infinity,
  };
  hostileGroups.push(group);
  const target = { host: hosts[calls.gateway] ?? '', port: platform.callerPort };
  const sockets = Array.from({ length: calls.connections }, (_, index) => {
    const bytes = buildBytes(soak, calls, `${idPrefix}-${index.toString()}`, key);
    return openCaller(target, calls.behaviour, bytes);
  });
  await wait(calls.durationMs);
  for (const socket of sockets) socket.destroy();
  group.closedAt = clock.now();
};
