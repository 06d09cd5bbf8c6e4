/**
 * Shows whether a generation goes on at another worker while the worker before still works on it,
 * after the open connections to the workers have fallen silent while new ones work. Exits with 1 if
 * so, 0 if not, 2 without a result.
 */
import { writeFileSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { startEngineWorker } from '../lib/engineWorker.mjs';
import { ENGINE_SERVICE, HOST_NAME, STREAM_ROUTE, ZONES, startPlatform } from '../lib/platform.mjs';
import { sendRaw } from '../lib/rawClient.mjs';
import { startSilentProxy } from '../lib/silentProxy.mjs';

/** `contactMs` of the sheet of clt-pool. */
const CONTACT_MS = 3_000;

/** Time for which two workers may work on one request. */
const OVERLAP_MS = 400;

const LONG_EVENTS = 500;
const SHORT_EVENTS = 3;
const GAP_MS = 30;
const SLOTS = 32;
const LONG_STREAMS = 2;
const SILENCE_AFTER_MS = 2_000;

/** Interval of the short streams, which show that new connections to the workers work. */
const SHORT_INTERVAL_MS = 200;

const isTroubled = process.env.TROUBLE !== '0';
const lines = [];
const record = (line) => lines.push(line);
const finish = (code, verdict) => {
  record(verdict);
  writeFileSync(new URL('record.txt', import.meta.url), `${lines.join('\n')}\n`);
  process.exitCode = code;
};

const now = () => performance.now();
const runs = [];
const copies = new Map();
const platform = await startPlatform();
const proxies = [];
const workers = [];
for (const [index, zone] of ZONES.entries()) {
  let address = '';
  const worker = await startEngineWorker('127.0.0.1', `engine-${index}`, {
    copies,
    countEvents: (url) => (url.includes('short') ? SHORT_EVENTS : LONG_EVENTS),
    gapMs: GAP_MS,
    getPublicAddress: () => address,
    now,
    onRun: (run) => runs.push(run),
  });
  const proxy = await startSilentProxy('127.0.0.1', { host: '127.0.0.1', port: worker.port });
  address = `127.0.0.1:${proxy.port}`;
  platform.register({ id: worker.id, address }, 'drafter', zone, SLOTS);
  workers.push(worker);
  proxies.push(proxy);
}
try {
  platform.configure(1, {
    routes: [STREAM_ROUTE],
    services: [ENGINE_SERVICE],
    tenants: [{ name: 'tenant-1', apiKeys: ['key-1'] }],
  });
  const { started, ready } = await platform.startGateways([
    { host: '127.0.0.2', name: 'edge-1', zone: 'pos-a' },
    { host: '127.0.0.3', name: 'edge-2', zone: 'pos-b' },
  ]);
  const send = ({ host, front }, id, path) =>
    sendRaw(
      { host, port: front },
      {
        method: 'POST',
        path,
        body: 'a memo, please',
        headers: {
          Host: HOST_NAME,
          'Request-Id': id,
          'Deadline-Ms': 39_000,
          Credential: 'key-1',
          Connection: 'close',
          Model: 'm',
          'Token-Count': `300,${LONG_EVENTS * 4}`,
          'Prefix-Hash': `${Buffer.from(id).toString('hex')}:300`,
        },
      },
    );
  if (!ready) finish(2, 'RESULT the gateways did not become ready');
  else {
    await sleep(1_000);
    const startedAt = now();
    const toTime = (at) => `${Math.round(at - startedAt)} ms`;
    const calls = started.flatMap((gateway, index) =>
      Array.from({ length: LONG_STREAMS }, async (_, stream) => {
        const id = `memo-${index + 1}-${stream}`;
        record(`${toTime(now())}: sent ${id} to edge-${index + 1}`);
        return { id, ...(await send(gateway, id, '/memo/long')) };
      }),
    );
    let shorts = 0;
    const shortCalls = [];
    const timer = setInterval(() => {
      for (const gateway of started) {
        shorts += 1;
        const id = `short-${shorts}`;
        const sentAt = now();
        const call = send(gateway, id, '/memo/short');
        shortCalls.push(call.then(({ status }) => ({ id, sentAt, status })));
      }
    }, SHORT_INTERVAL_MS);
    await sleep(SILENCE_AFTER_MS);
    const silencedAt = now();
    if (isTroubled) {
      const counts = proxies.map((proxy) => proxy.silence());
      record(`${toTime(silencedAt)}: open connections to the workers fall silent: ${counts}`);
    }
    const answers = await Promise.all(calls);
    clearInterval(timer);
    const shortAnswers = await Promise.all(shortCalls);
    let overlaps = 0;
    for (const { id, status, body, ended } of answers) {
      const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(([, event]) => Number(event));
      record(
        `answer ${id}: status ${status}, ${ids.length} events to ${ids.at(-1)}, ended "${ended}"`,
      );
      const own = runs.filter(({ requestId }) => requestId === id);
      for (const run of own) {
        const end = run.end === null ? 'running' : `${run.end.kind} at ${toTime(run.end.at)}`;
        record(`  ${run.worker} ${run.start} at ${toTime(run.startedAt)}, ${end}`);
      }
      for (const [index, next] of own.entries()) {
        const before = own[index - 1];
        if (before === undefined || next.startedAt < silencedAt + CONTACT_MS) continue;
        const workedAt = before.lastEventAt ?? before.startedAt;
        if (workedAt < next.startedAt + OVERLAP_MS) continue;
        const reached = runs.filter(
          ({ requestId, startedAt: at, worker }) =>
            requestId.startsWith('short') &&
            worker === before.worker &&
            Math.abs(at - next.startedAt) < CONTACT_MS,
        );
        record(
          `  ${before.worker} still made an event ${Math.round(workedAt - next.startedAt)} ms after ` +
            `${next.worker} had gone on; it got ${reached.length} other requests within ` +
            `${CONTACT_MS} ms of that`,
        );
        if (reached.length > 0) overlaps += 1;
      }
    }
    for (const { id, sentAt, status } of shortAnswers) {
      const places = runs.filter(({ requestId }) => requestId === id).map(({ worker }) => worker);
      record(`${toTime(sentAt)}: sent ${id}: ${status}, run by ${places.join(', ') || 'nobody'}`);
    }
    if (overlaps > 0)
      finish(
        1,
        `RESULT broken: ${overlaps} of ${answers.length} generations ran at two workers at once`,
      );
    else if (!isTroubled && answers.some(({ status }) => status !== 200))
      finish(2, 'RESULT a generation was not served');
    else finish(0, 'RESULT held: no generation ran at two workers at once');
  }
} finally {
  platform.close();
  for (const proxy of proxies) proxy.close();
  for (const worker of workers) worker.close();
}
