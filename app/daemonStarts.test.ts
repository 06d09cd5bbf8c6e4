import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { applyEdits, modify } from 'jsonc-parser';

const HOST = '127.0.0.1';
const PROGRAM = 'app/bin/chestnutspan.js';

/** Module that rejects without a handler for each SIGUSR2, as a defect would. */
const FAIL_ON_SIGNAL = `data:text/javascript,${encodeURIComponent(
  "process.on('SIGUSR2', () => { void Promise.reject(new Error('defect')); });",
)}`;

/** Both addresses that each daemon opens. */
const ADDRESSES = { entry: ['callers', 'rpc'], endpoint: ['http', 'rpc'] } as const;

type DaemonKind = keyof typeof ADDRESSES;

const holdPort = (t: ExecutionContext): Promise<Server> =>
  new Promise((resolve) => {
    const server = createServer();
    t.teardown(() => {
      server.close();
    });
    server.listen(0, HOST, () => {
      resolve(server);
    });
  });

/** Starts a daemon with its example settings, at free ports but for the given one. */
const startDaemon = (t: ExecutionContext, kind: DaemonKind, held: string, port: number) => {
  const folder = mkdtempSync(join(tmpdir(), 'daemon-'));
  const path = join(folder, 'settings.jsonc');
  const text = ADDRESSES[kind].reduce(
    (settings, name) =>
      applyEdits(settings, modify(settings, [name, 'port'], name === held ? port : 0, {})),
    readFileSync(`app/settings/${kind}.jsonc`, 'utf8'),
  );
  writeFileSync(path, text);
  const child = spawn(process.execPath, ['--import', FAIL_ON_SIGNAL, PROGRAM, 'run', kind, path], {
    env: { ...process.env, NODE_ENV: 'production' },
  });
  t.teardown(() => {
    child.kill('SIGKILL');
    rmSync(folder, { recursive: true, force: true });
  });
  let output = '';
  const observers = new Set<() => void>();
  for (const stream of [child.stdout, child.stderr])
    stream.on('data', (bytes: Buffer) => {
      output += bytes.toString();
      for (const observe of observers) observe();
    });
  const ended = new Promise<number | NodeJS.Signals | null>((resolve) => {
    child.on('close', (code, signal) => {
      resolve(code ?? signal);
    });
  });
  const waitFor = (expected: string): Promise<void> =>
    new Promise((resolve, reject) => {
      const observe = (): void => {
        if (output.includes(expected)) resolve();
      };
      observers.add(observe);
      observe();
      void ended.then((code) => {
        reject(new Error(`the daemon ended with ${String(code)}: ${output}`));
      });
    });
  return { child, ended, waitFor };
};

// Guards against a daemon that does not start because the process before it has not ended yet.
for (const kind of ['entry', 'endpoint'] as const)
  for (const held of ADDRESSES[kind])
    test(`the ${kind} daemon waits for its ${held} address`, async (t) => {
      const holder = await holdPort(t);
      const { port } = holder.address() as AddressInfo;
      const { waitFor } = startDaemon(t, kind, held, port);
      await waitFor('"address-unavailable"');
      holder.close();
      await waitFor('"daemon-started"');
      t.pass();
    });

// Guards against a defect in one request that ends the daemon with all other requests.
for (const kind of ['entry', 'endpoint'] as const)
  test(`the ${kind} daemon stays after a rejection without a handler`, async (t) => {
    const { child, waitFor } = startDaemon(t, kind, 'none', 0);
    await waitFor(`${kind} daemon serves`);
    child.kill('SIGUSR2');
    await waitFor('"error-uncaught"');
    t.is(child.exitCode, null);
  });

// Guards against a daemon that neither serves nor ends when another program holds its address.
for (const [kind, held] of [
  ['entry', 'callers'],
  ['endpoint', 'http'],
] as const)
  test(`the ${kind} daemon ends when its address stays in use`, async (t) => {
    const { port } = (await holdPort(t)).address() as AddressInfo;
    const { ended } = startDaemon(t, kind, held, port);
    t.is(await ended, 70);
  });
