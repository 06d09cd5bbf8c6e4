/**
 * Shows for how long a route still leads to its old service after all open connections to the store
 * have fallen silent while new ones work. Exits with 1 if it does so beyond the bound at gateways that
 * are in touch again, 0 if not, 2 without a result.
 */
import { writeFileSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { HOST_NAME, PLAIN_SERVICE, UNSAFE_ROUTE, ZONES, startPlatform } from '../lib/platform.mjs';
import { sendRaw } from '../lib/rawClient.mjs';
import { startSilentProxy } from '../lib/silentProxy.mjs';
import { startWorker } from '../lib/worker.mjs';

/** Bounds of the sheet of clt-pool. */
const CONTACT_MS = 3_000;
const CONFIG_APPLY_MS = 2_000;

/** Time in which the gateways run undisturbed. */
const CALM_MS = 5_000;

/** Time from the disruption to the acknowledged change. */
const CHANGE_AFTER_MS = 100;

const WATCH_MS = 10_000;
const SEND_INTERVAL_MS = 100;
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
const startWorkers = (service) =>
  Promise.all(
    ZONES.map((_, index) =>
      startWorker('127.0.0.1', `${service}-${index}`, {
        workMs: WORK_MS,
        now,
        onRun: ({ at, requestId }) => runs.set(requestId, { at, service }),
      }),
    ),
  );
const oldWorkers = await startWorkers('old-core');
const newWorkers = await startWorkers('new-core');
const proxies = [];
try {
  const configure = (version, service) =>
    platform.configure(version, {
      routes: [{ ...UNSAFE_ROUTE, service }],
      services: ['old-core', 'new-core'].map((name) => ({ ...PLAIN_SERVICE, name })),
      tenants: [{ name: 'tenant-1', apiKeys: ['key-1'] }],
    });
  configure(1, 'old-core');
  for (const [index, zone] of ZONES.entries()) {
    platform.register(oldWorkers[index], 'old-core', zone, SLOTS);
    platform.register(newWorkers[index], 'new-core', zone, SLOTS);
  }
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
    await sleep(CHANGE_AFTER_MS);
    configure(4, 'new-core');
    const changedAt = now();
    record(`${Math.round(changedAt - silencedAt)} ms: the store acknowledges the new version`);
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
    await sleep(WATCH_MS);
    clearInterval(timer);
    await Promise.all(calls);
    const inTouchFrom = isTroubled ? silencedAt + CONTACT_MS : changedAt;
    const late = requests.filter(
      ({ id, sentAt }) =>
        runs.get(id)?.service === 'old-core' &&
        sentAt > changedAt + CONFIG_APPLY_MS &&
        sentAt > inTouchFrom,
    );
    for (const { id, gateway, sentAt, status } of requests) {
      const run = runs.get(id);
      const place =
        run === undefined
          ? 'not run'
          : `run by ${run.service} at ${Math.round(run.at - silencedAt)} ms`;
      const at = Math.round(sentAt - silencedAt);
      record(`${at} ms: ${id} to edge-${gateway}: ${status}, ${place}`);
    }
    const moved = requests.filter(({ id }) => runs.get(id)?.service === 'new-core');
    if (late.length > 0) {
      const last = Math.max(...late.map(({ sentAt }) => sentAt));
      finish(
        1,
        `RESULT broken: the old service ran ${late.length} requests that were sent over ` +
          `${CONFIG_APPLY_MS} ms after the acknowledgement and over ${CONTACT_MS} ms after the ` +
          `disruption, the last ${Math.round(last - changedAt)} ms after the acknowledgement`,
      );
    } else if (moved.length === 0) finish(2, 'RESULT the new service ran no request');
    else finish(0, 'RESULT held: the old service ran no request beyond the bound');
  }
} finally {
  platform.close();
  for (const proxy of proxies) proxy.close();
  for (const worker of [...oldWorkers, ...newWorkers]) worker.close();
}
