/**
 * Shows whether a gateway keeps within the memory of its machine when it takes over the callers of a
 * lost one. The platform, as stood in for here, kills a process that exceeds it. Exits with 1 if
 * callers then lose requests that were passed on, 0 if not, 2 without a result.
 */
import { readFileSync, writeFileSync } from 'node:fs';
import { Agent, request as openRequest } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  ENGINE_SERVICE,
  HOST_NAME,
  PLAIN_SERVICE,
  STREAM_ROUTE,
  UNSAFE_ROUTE,
  ZONES,
  startPlatform,
} from '../lib/platform.mjs';
import { startStreamWorker } from '../lib/streamWorker.mjs';
import { startWorker } from '../lib/worker.mjs';

/** `memoryMb` of an edge machine, and the rate of `pool-memo` on all machines together. */
const MEMORY_MB = 200;
const MEMOS_PER_SECOND = 3.24;

/** Size of a memo with its documents, below `maxBodyBytes` (4,194,304). */
const BODY_BYTES = 2_500_000;

/** Events of a memo, as the mean of `pool-memo`. */
const EVENTS = 233;
const GAP_MS = 30;
const FIRST_MS = 1_200;

const LOSE_AFTER_MS = 15_000;
const END_AFTER_MS = 45_000;
const RESTART_MS = 1_000;
const CHECK_MS = 20;

/** LOST permits this many. */
const MAX_LOST = 3;

const isTroubled = process.env.TROUBLE !== '0';
const lines = [];
const record = (line) => lines.push(line);
const finish = (code, verdict) => {
  record(verdict);
  writeFileSync(new URL('record.txt', import.meta.url), `${lines.join('\n')}\n`);
  process.exitCode = code;
};

const now = () => performance.now();
const beganAt = now();
const toTime = (at = now()) => `${Math.round(at - beganAt)} ms`;
const runs = new Map();
const platform = await startPlatform();
const engines = await Promise.all(
  ZONES.map((_, index) =>
    startStreamWorker('127.0.0.1', `engine-${index}`, {
      events: EVENTS,
      firstMs: FIRST_MS,
      gapMs: GAP_MS,
      framing: 'chunked',
      now,
      onRun: (run) => runs.set(run.requestId, run),
    }),
  ),
);
const core = await startWorker('127.0.0.1', 'core-0', { workMs: 21, now, onRun: () => undefined });

const send = (agent, { host, front }, id, { method, path, body, headers }, onHead) =>
  new Promise((resolve) => {
    const outgoing = openRequest(
      {
        agent,
        host,
        port: front,
        method,
        path,
        headers: {
          Host: HOST_NAME,
          'Request-Id': id,
          Credential: 'key-1',
          'Content-Length': body.length,
          ...headers,
        },
      },
      (answer) => {
        onHead?.(outgoing.reusedSocket);
        answer.resume();
        answer.on('end', () => resolve(answer.complete ? `whole ${answer.statusCode}` : 'cut'));
        answer.on('error', () => resolve('cut in the answer'));
      },
    );
    outgoing.on('error', () => resolve('no answer'));
    outgoing.end(body);
  });

/** Sends a look-up and then a memo on the same connection, which the gateway has kept open. */
const sendMemo = async (gateway, id, body) => {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const lookUp = { method: 'GET', path: '/balance/1', body: '', headers: { 'Deadline-Ms': 600 } };
  const first = await send(agent, gateway, `${id}-look-up`, lookUp);
  const sentAt = now();
  const result = await send(agent, gateway, id, {
    method: 'POST',
    path: '/memo/1',
    body,
    headers: {
      'Deadline-Ms': 39_000,
      Model: 'm',
      'Token-Count': `300,${EVENTS * 4}`,
      'Prefix-Hash': `${Buffer.from(id).toString('hex')}:300`,
    },
  });
  agent.destroy();
  return { id, first, result, sentAt };
};

const readMemoryMb = ({ child }) => {
  try {
    const status = readFileSync(`/proc/${child.pid}/status`, 'utf8');
    return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1_024;
  } catch {
    return 0;
  }
};

const timers = [];
try {
  platform.configure(1, {
    routes: [
      STREAM_ROUTE,
      { ...UNSAFE_ROUTE, name: 'bal-read', pathPrefix: '/balance/', kind: 'safe', maxAttempts: 2 },
    ],
    services: [ENGINE_SERVICE, PLAIN_SERVICE],
    tenants: [{ name: 'tenant-1', apiKeys: ['key-1'] }],
  });
  for (const [index, engine] of engines.entries())
    platform.register(engine, 'drafter', ZONES[index], 32);
  platform.register(core, 'pool-core', 'pos-a', 6);
  const specs = [
    { host: '127.0.0.2', name: 'edge-1', zone: 'pos-a' },
    { host: '127.0.0.3', name: 'edge-2', zone: 'pos-b' },
  ];
  const { started, ready } = await platform.startGateways(specs);
  if (!ready) finish(2, 'RESULT the gateways did not become ready');
  else {
    const slots = started.map((gateway, index) => ({
      spec: specs[index],
      gateway,
      state: 'running',
      peakMb: 0,
      kills: 0,
    }));
    const restarts = [];
    const restart = async (slot) => {
      await sleep(RESTART_MS);
      const again = await platform.startGateways([slot.spec]);
      [slot.gateway] = again.started;
      slot.peakMb = 0;
      slot.state = 'running';
    };
    const checkMemory = () => {
      for (const slot of slots) {
        if (slot.state !== 'running') continue;
        slot.peakMb = Math.max(slot.peakMb, readMemoryMb(slot.gateway));
        if (slot.peakMb <= MEMORY_MB) continue;
        slot.state = 'killed';
        slot.kills += 1;
        slot.gateway.child.kill('SIGKILL');
        record(`${toTime()}: ${slot.spec.name} has ${Math.round(slot.peakMb)} MB and is killed`);
        restarts.push(restart(slot));
      }
    };
    timers.push(setInterval(checkMemory, CHECK_MS));
    const body = Buffer.alloc(BODY_BYTES, 'a');
    const calls = [];
    let next = 0;
    const arrive = () => {
      const running = slots.filter(({ state }) => state === 'running');
      const slot = running[next % Math.max(1, running.length)];
      next += 1;
      if (slot === undefined) return;
      const id = `memo-${next}`;
      const { name } = slot.spec;
      calls.push(sendMemo(slot.gateway, id, body).then((call) => ({ ...call, name })));
    };
    timers.push(setInterval(arrive, 1_000 / MEMOS_PER_SECOND));
    await sleep(LOSE_AFTER_MS);
    for (const { peakMb, spec } of slots)
      record(`${toTime()}: ${spec.name} has had ${Math.round(peakMb)} MB at most`);
    if (isTroubled) {
      slots[0].state = 'lost';
      slots[0].gateway.child.kill('SIGKILL');
      record(`${toTime()}: edge-1 is killed and does not come back`);
    }
    await sleep(END_AFTER_MS - LOSE_AFTER_MS);
    clearInterval(timers.pop());
    const answers = await Promise.all(calls);
    clearInterval(timers.pop());
    await Promise.all(restarts);
    let lost = 0;
    for (const { id, first, name, result, sentAt } of answers) {
      const run = runs.get(id);
      const place = run === undefined ? 'not passed on' : `run by ${run.worker}`;
      record(
        `${toTime(sentAt)}: ${id} to ${name}, after a look-up (${first}): ${result}, ${place}`,
      );
      const isKept = first === 'whole 200';
      if (name === 'edge-2' && result === 'no answer' && run !== undefined && isKept) lost += 1;
    }
    for (const { kills, peakMb, spec } of slots)
      record(
        `${spec.name}: ${Math.round(peakMb)} MB at most, killed ${kills} times for its memory`,
      );
    const whole = answers.filter(({ result }) => result === 'whole 200').length;
    const cut = answers.filter(({ name, result }) => name === 'edge-2' && result.startsWith('cut'));
    if (lost > MAX_LOST)
      finish(
        1,
        `RESULT broken: edge-2 closed ${lost} kept connections without an answer to a request that it ` +
          `had passed on, and ${cut.length} in the answer; ${whole} memos are whole`,
      );
    else if (whole === 0) finish(2, 'RESULT no memo was served');
    else finish(0, `RESULT held: ${lost} lost, ${whole} memos are whole`);
  }
} finally {
  for (const timer of timers) clearInterval(timer);
  platform.close();
  for (const worker of [...engines, core]) worker.close();
}
