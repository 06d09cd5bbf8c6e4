/**
 * Shows whether an answer without a length looks complete to its client when the process of the
 * gateway that passes it on is killed. Exits with 1 if it does, 0 if not, 2 without a result.
 */
import { writeFileSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { HOST_NAME, ENGINE_SERVICE, STREAM_ROUTE, ZONES, startPlatform } from '../lib/platform.mjs';
import { readFraming, sendRaw } from '../lib/rawClient.mjs';
import { startStreamWorker } from '../lib/streamWorker.mjs';

const EVENTS = 100;
const GAP_MS = 30;
const STREAMS_PER_GATEWAY = 3;
const KILL_AFTER_MS = 1_500;
const SLOTS = 32;

const isTroubled = process.env.TROUBLE !== '0';
const lines = [];
const record = (line) => lines.push(line);
const finish = (code, verdict) => {
  record(verdict);
  writeFileSync(new URL('record.txt', import.meta.url), `${lines.join('\n')}\n`);
  process.exitCode = code;
};

const runs = new Map();
const platform = await startPlatform();
const workers = await Promise.all(
  ZONES.map((zone, index) =>
    startStreamWorker('127.0.0.1', `engine-${index}`, {
      events: EVENTS,
      gapMs: GAP_MS,
      framing: 'until-close',
      now: () => performance.now(),
      onRun: (run) => runs.set(run.requestId, run),
    }),
  ),
);
try {
  platform.configure(1, {
    routes: [STREAM_ROUTE],
    services: [ENGINE_SERVICE],
    tenants: [{ name: 'tenant-1', apiKeys: ['key-1'] }],
  });
  for (const [index, worker] of workers.entries())
    platform.register(worker, 'drafter', ZONES[index], SLOTS);
  const { started, ready } = await platform.startGateways([
    { host: '127.0.0.2', name: 'edge-1', zone: 'pos-a' },
    { host: '127.0.0.3', name: 'edge-2', zone: 'pos-b' },
  ]);
  if (!ready) finish(2, 'RESULT the gateways did not become ready');
  else {
    const calls = started.flatMap(({ host, front }, gateway) =>
      Array.from({ length: STREAMS_PER_GATEWAY }, async (_, index) => {
        const id = `memo-${gateway}-${index}`;
        record(`sent ${id} to edge-${gateway + 1}`);
        const answer = await sendRaw(
          { host, port: front },
          {
            method: 'POST',
            path: '/memo/1',
            body: 'a memo, please',
            headers: {
              Host: HOST_NAME,
              'Request-Id': id,
              'Deadline-Ms': 39_000,
              Credential: 'key-1',
              Model: 'm',
              'Token-Count': `300,${EVENTS * 4}`,
              'Prefix-Hash': `${gateway}${index}a:300`,
            },
          },
        );
        return { id, ...answer };
      }),
    );
    await sleep(KILL_AFTER_MS);
    if (isTroubled) {
      started[0].child.kill('SIGKILL');
      record(`killed edge-1 with SIGKILL after ${KILL_AFTER_MS} ms`);
    }
    let incomplete = 0;
    let whole = 0;
    for (const { id, status, head, body, ended } of await Promise.all(calls)) {
      const run = runs.get(id);
      const received = body.split('\n\n').filter((event) => event.startsWith('id: ')).length;
      const framing = readFraming(head);
      // HTTP/1.1: without a length and chunks, an orderly end of the connection is that of the answer.
      const looksComplete = status === 200 && framing === 'until-close' && ended === 'end';
      if (looksComplete && received < EVENTS) incomplete += 1;
      if (looksComplete && received === EVENTS) whole += 1;
      record(
        `answer ${id}: status ${status}, signature ${/response-signature: (\S+)/i.exec(head)?.[1]}, ` +
          `framing ${framing}, connection ended with "${ended}", ${received} of ${EVENTS} events; ` +
          `the worker ${run?.worker} had sent ${run?.events}, ` +
          `${run?.endedAt == null ? 'and did not end it' : 'and ended it'}`,
      );
    }
    if (incomplete > 0)
      finish(
        1,
        `RESULT broken: ${incomplete} answers end early and look complete; ${whole} are whole`,
      );
    else if (!isTroubled && whole < calls.length) finish(2, `RESULT only ${whole} whole answers`);
    else finish(0, `RESULT held: ${whole} whole answers, none that ends early looks complete`);
  }
} finally {
  platform.close();
  for (const worker of workers) worker.close();
}
