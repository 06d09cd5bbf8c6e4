import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { applyEdits, modify } from 'jsonc-parser';

const PROGRAM = 'app/bin/chestnutspan.js';
const ADDRESSES = { entry: ['callers', 'rpc'], endpoint: ['http', 'rpc'] } as const;
/** Heap of the daemons, whatever the memory of the machine. */
const HEAP_FLAG = '--max-old-space-size=90';

export type DaemonKind = keyof typeof ADDRESSES;

/** Address of a listener. */
export interface ListenerAddress {
  readonly host: string;
  readonly port: number;
}

/** A daemon as a process with a small heap. */
export interface LimitedDaemon {
  readonly getAddress: (name: string) => ListenerAddress;
  /** Returns how the process ended, or `runs`. */
  readonly getLife: () => string;
  /** Returns the largest resident memory so far in MB. */
  readonly readPeakMegabytes: () => number;
  readonly getOutput: () => string;
  readonly processId: number;
  readonly stop: () => void;
}

/** Fields of the settings, by their paths, that share the stated memory. */
const SHARED_FIELDS: Readonly<Record<DaemonKind, readonly (readonly string[])[]>> = {
  entry: [],
  endpoint: [
    ['buffer', 'maxTotalBytes'],
    ['answers', 'maxBytes'],
  ],
};

/** Part of the memory that each shared field gets; they may have half of it together. */
const FIELD_SHARE = 1 / 8;

const listFields = (kind: DaemonKind, memoryBytes: number | null) => {
  const ports = ADDRESSES[kind].map((name) => ({ path: [name, 'port'], value: 0 }));
  if (memoryBytes === null) return ports;
  const shared = SHARED_FIELDS[kind].map((path) => ({
    path: [...path],
    value: Math.floor(memoryBytes * FIELD_SHARE),
  }));
  return [...ports, ...shared, { path: ['memoryBytes'], value: memoryBytes }];
};

const writeSettings = (folder: string, kind: DaemonKind, memoryBytes: number | null): string => {
  const path = join(folder, 'settings.jsonc');
  const text = listFields(kind, memoryBytes).reduce(
    (settings, field) => applyEdits(settings, modify(settings, field.path, field.value, {})),
    readFileSync(`app/settings/${kind}.jsonc`, 'utf8'),
  );
  writeFileSync(path, text);
  return path;
};

/**
 * Starts a daemon with its example settings, at free ports, and waits until it serves.
 *
 * @param kind - daemon
 * @param memoryBytes - memory that its settings state; null for the default
 * @returns the running daemon
 */
export const startLimitedDaemon = async (
  kind: DaemonKind,
  memoryBytes: number | null = null,
): Promise<LimitedDaemon> => {
  const folder = mkdtempSync(join(tmpdir(), 'listeners-'));
  const argv = [HEAP_FLAG, PROGRAM, 'run', kind, writeSettings(folder, kind, memoryBytes)];
  const child = spawn(process.execPath, argv, { env: { ...process.env, NODE_ENV: 'production' } });
  let output = '';
  let life = 'runs';
  let peak = 0;
  const exited = new Promise<void>((resolve) => {
    child.once('exit', (code, signal) => {
      life = `ended with ${String(signal ?? code)}`;
      resolve();
    });
  });
  for (const stream of [child.stdout, child.stderr])
    stream.on('data', (bytes: Buffer) => {
      output = (output + bytes.toString()).slice(-100_000);
    });
  let served = '';
  child.stdout.on('data', (bytes: Buffer) => {
    if (served.length < 10_000) served += bytes.toString();
  });
  const findPort = (name: string): number =>
    Number(new RegExp(`serves ${name} on http://127.0.0.1:(\\d+)`).exec(served)?.[1] ?? 0);
  while (ADDRESSES[kind].some((name) => findPort(name) === 0)) {
    if (life !== 'runs') throw new Error(`the ${kind} daemon ${life}: ${output}`);
    await Promise.race([sleep(20), exited]);
  }
  return {
    getAddress: (name) => ({ host: '127.0.0.1', port: findPort(name) }),
    getLife: () => life,
    readPeakMegabytes: () => {
      if (life === 'runs' && child.pid !== undefined) {
        const status = readFileSync(`/proc/${child.pid.toString()}/status`, 'utf8');
        peak = Number(/VmHWM:\s*(\d+)/.exec(status)?.[1] ?? 0) / 1_024;
      }
      return Math.round(peak);
    },
    getOutput: () => output,
    processId: child.pid ?? 0,
    stop: () => {
      child.kill('SIGKILL');
      rmSync(folder, { recursive: true, force: true });
    },
  };
};

/** Whether a connection reads what it receives. */
export type Reading = 'read' | 'unread';

/** Opens connections that write the same bytes, and end nothing. Errors end a connection silently. */
export const openConnections = async (
  address: ListenerAddress,
  count: number,
  reading: Reading,
): Promise<readonly Socket[]> => {
  const sockets: Socket[] = [];
  for (let opened = 0; opened < count; opened += 1) {
    const socket = connect(address);
    sockets.push(socket);
    socket.on('error', () => undefined);
    if (reading === 'read') socket.resume();
    else socket.pause();
    // Opens in groups, since the queue of new connections of the listener is finite.
    if (opened % 100 === 99) await sleep(5);
  }
  return sockets;
};

/** Opens connections and writes the same bytes to each. */
export const writeToAll = async (
  address: ListenerAddress,
  { bytes, count, reading }: { bytes: Buffer; count: number; reading: Reading },
): Promise<readonly Socket[]> => {
  const sockets = await openConnections(address, count, reading);
  for (const socket of sockets) socket.write(bytes);
  return sockets;
};

const FRAME_HEADER_BYTES = 9;

/** Builds one HTTP/2 frame. */
export const buildFrame = (
  type: number,
  flags: number,
  stream: number,
  payload: Buffer = Buffer.alloc(0),
): Buffer => {
  const header = Buffer.alloc(FRAME_HEADER_BYTES);
  header.writeUIntBE(payload.length, 0, 3);
  header.writeUInt8(type, 3);
  header.writeUInt8(flags, 4);
  header.writeUInt32BE(stream, 5);
  return Buffer.concat([header, payload]);
};

const buildString = (text: string): Buffer => {
  const bytes = Buffer.from(text);
  if (bytes.length < 127) return Buffer.concat([Buffer.from([bytes.length]), bytes]);
  const prefix = [127];
  let rest = bytes.length - 127;
  for (; rest >= 128; rest = Math.floor(rest / 128)) prefix.push((rest % 128) + 128);
  prefix.push(rest);
  return Buffer.concat([Buffer.from(prefix), bytes]);
};

const END_HEADERS = 0x4;
const END_STREAM = 0x1;

/** Frames of HTTP/2 that the plays send. */
export const FRAMES = {
  preface: Buffer.concat([Buffer.from('PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'), buildFrame(0x4, 0, 0)]),
  settings: buildFrame(0x4, 0, 0),
  ping: buildFrame(0x6, 0, 0, Buffer.alloc(8)),
  reset: (stream: number) => buildFrame(0x3, 0, stream, Buffer.from([0, 0, 0, 8])),
  data: (stream: number, bytes: Buffer) => buildFrame(0x0, 0, stream, bytes),
  end: (stream: number) => buildFrame(0x0, END_STREAM, stream),
  window: (stream: number, bytes: number) => {
    const payload = Buffer.alloc(4);
    payload.writeUInt32BE(bytes);
    return buildFrame(0x8, 0, stream, payload);
  },
} as const;

/** Builds the head of a call; the fields are literals that the header table does not keep. */
export const buildCallHead = (
  stream: number,
  path: string,
  contentType: string,
  fields: readonly (readonly [string, string])[] = [],
): Buffer => {
  const block = Buffer.concat([
    Buffer.from([0x83, 0x86, 0x04]),
    buildString(path),
    Buffer.from([0x01]),
    buildString('127.0.0.1'),
    Buffer.from([0x0f, 0x10]),
    buildString(contentType),
    ...fields.flatMap(([name, value]) => [Buffer.from([0]), buildString(name), buildString(value)]),
  ]);
  return buildFrame(0x1, END_HEADERS, stream, block);
};

/** Path and content type of a streaming call of the endpoint daemon. */
export const GENERATE = [
  '/chestnutspan.v1.EndpointService/Generate',
  'application/connect+proto',
] as const;
/** Path and content type of a call of the endpoint daemon with one answer. */
export const CALL = ['/chestnutspan.v1.EndpointService/Call', 'application/proto'] as const;
/** Path and content type of a heartbeat to the entry daemon. */
export const HEARTBEAT = ['/chestnutspan.v1.EntryService/Heartbeat', 'application/proto'] as const;

/** Sends twelve requests at once, each on a connection of its own, and returns the statuses. */
export const sendTwelve = async (
  { host, port }: ListenerAddress,
  path: string,
  headers: Readonly<Record<string, string>> = {},
): Promise<readonly number[]> =>
  Promise.all(
    Array.from({ length: 12 }, async () => {
      try {
        const answer = await fetch(`http://${host}:${port.toString()}${path}`, {
          headers: { ...headers, connection: 'close' },
          signal: AbortSignal.timeout(5_000),
        });
        await answer.arrayBuffer();
        return answer.status;
      } catch {
        return 0;
      }
    }),
  );

/** Largest window that HTTP/2 allows, less the one that a connection begins with. */
const MAX_WINDOW_BYTES = 2 ** 31 - 1 - 65_535;

/** Builds the begin of a connection with a large window, and the frames behind it. */
export const buildPreface = (frames: readonly Buffer[]): Buffer =>
  Buffer.concat([FRAMES.preface, FRAMES.window(0, MAX_WINDOW_BYTES), ...frames]);

/** Lists the first streams that a client opens. */
export const listStreams = (count: number): readonly number[] =>
  Array.from({ length: count }, (_, index) => 2 * index + 1);

const MAX_FRAME_BYTES = 16_384;

/** Splits a message into data frames, of which the last one ends the stream. */
export const splitMessage = (stream: number, message: Buffer): readonly Buffer[] => {
  const frames: Buffer[] = [];
  for (let start = 0; start < message.length; start += MAX_FRAME_BYTES)
    frames.push(FRAMES.data(stream, message.subarray(start, start + MAX_FRAME_BYTES)));
  return [...frames, FRAMES.end(stream)];
};
