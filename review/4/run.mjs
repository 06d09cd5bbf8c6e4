/**
 * Shows for how long gateways send requests to a worker whose entry was removed, after all open
 * connections to the store have fallen silent while new ones work. Exits with 1 if they do so beyond
 * the bound when they are in touch again, 0 if not, 2 without a result.
 */
import { writeFileSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { HOST_NAME, PLAIN_SERVICE, UNSAFE_ROUTE, ZONES, startPlatform } from '../lib/platform.mjs';
import { sendRaw } from '../lib/rawClient.mjs';
import { startSilentProxy } from '../lib/silentProxy.mjs';
import { startWorker } from '../lib/worker.mjs';

/** Bounds of the sheet of clt-pool. */
const CONTACT_MS = 3_000;
const DRAIN_MS = 2_000;

/** Time in which the gateways run undisturbed. */
const CALM_MS = 5_000;

/** Time from the disruption to the removal of the entry. */
const REMOVE_AFTER_MS = 100;

/** The worker serves on for all of this time after its removal. */
const WATCH_MS = 10_000;

const SEND_INTERVAL_MS = 50;
const WORK_MS = 21;
const SLOTS = 6;

const isTroubled = process.env.TROUBLE !== '0';
const lines = [];
const record = (line) => lines.push(line);
const finish = (code, verdict) => {
  record(verdict);
  writeFileSync(new URL('record.txt', import.meta.url), `${lines.join('\n')}\n`);
  process.exitCode = code;
};

const now = () => performance.now();
const runs = new Map();
const platform = await startPlatform();
const workers = await Promise.all(
  ZONES.map((_, index) =>
    startWorker('127.0.0.1', `core-${index}`, {
      workMs: WORK_MS,
      now,
      onRun: ({ at, requestId, worker }) => runs.set(requestId, { at, worker }),
    }),
  ),
);
const proxies = [];
try {
  platform.configure(1, {
    routes: [UNSAFE_ROUTE],
    services: [PLAIN_SERVICE],
    tenants: [{ name: 'tenant-1', apiKeys: ['key-1'] }],
  });
  const entries = workers.map((worker, index) =>
    platform.register(worker, 'pool-core', ZONES[index], SLOTS),
  );
  const specs = [];
  for (const [index, host] of ['127.0.0.2', '127.0.0.3'].entries()) {
    const proxy = await startSilentProxy(host, { host: '127.0.0.1', port: platform.store.port });
    proxies.push(proxy);
    const storeAddress = `${host}:${proxy.port}`;
    specs.push({ host, name: `edge-${index + 1}`, zone: ZONES[index], storeAddress });
  }
  const { started, ready } = await platform.startGateways(specs);
  if (!ready) finish(2, 'RESULT the gateways did not become ready');
  else {
    await sleep(CALM_MS);
    const silencedAt = now();
    if (isTroubled) {
      const counts = proxies.map((proxy) => proxy.silence());
      record(`0 ms: open connections to the store fall silent, by gateway: ${counts.join(', ')}`);
    }
    const requests = [];
    const calls = [];
    let next = 0;
    const timer = setInterval(() => {
      for (const [index, { host, front }] of started.entries()) {
        next += 1;
        const request = { id: `q-${next}`, gateway: index + 1, sentAt: now() };
        requests.push(request);
        const headers = {
          Host: HOST_NAME,
          'Request-Id': request.id,
          'Deadline-Ms': 600,
          Credential: 'key-1',
          Connection: 'close',
        };
        const call = { method: 'POST', path: '/sweep/1', headers, body: 'a sweep' };
        calls.push(
          sendRaw({ host, port: front }, call).then(({ status }) => {
            request.status = status;
          }),
        );
      }
    }, SEND_INTERVAL_MS);
    await sleep(REMOVE_AFTER_MS);
    entries[0].remove();
    const removedAt = now();
    record(`${Math.round(removedAt - silencedAt)} ms: the store removes the entry of core-0`);
    await sleep(WATCH_MS);
    clearInterval(timer);
    await Promise.all(calls);
    const inTouchFrom = isTroubled ? silencedAt + CONTACT_MS : removedAt;
    const late = requests.filter(({ id, sentAt }) => {
      const run = runs.get(id);
      return run?.worker === 'core-0' && run.at > removedAt + DRAIN_MS && sentAt > inTouchFrom;
    });
    for (const { id, gateway, sentAt, status } of requests) {
      const run = runs.get(id);
      const at = Math.round(sentAt - silencedAt);
      const place =
        run === undefined
          ? 'not run'
          : `run by ${run.worker} at ${Math.round(run.at - silencedAt)} ms`;
      record(`${at} ms: ${id} to edge-${gateway}: ${status}, ${place}`);
    }
    if (late.length > 0) {
      const last = Math.max(...late.map(({ id }) => runs.get(id).at));
      finish(
        1,
        `RESULT broken: ${late.length} requests reached core-0 over ${DRAIN_MS} ms after the removal ` +
          `of its entry, sent over ${CONTACT_MS} ms after the disruption, the last ` +
          `${Math.round(last - removedAt)} ms after the removal`,
      );
    } else if (!requests.some(({ id }) => runs.get(id)?.worker === 'core-0'))
      finish(2, 'RESULT core-0 ran no request');
    else finish(0, 'RESULT held: core-0 got no request beyond the bound');
  }
} finally {
  platform.close();
  for (const proxy of proxies) proxy.close();
  for (const worker of workers) worker.close();
}
