// Starts workers as processes, and starts one that crashed again after some seconds, as a new incarnation.
import { fork } from 'node:child_process';
import { randomBytes } from 'node:crypto';
import { fileURLToPath } from 'node:url';
import { findFreePort } from './ports.mjs';

const PROGRAMS = {
  model: fileURLToPath(new URL('./worker.mjs', import.meta.url)),
  plain: fileURLToPath(new URL('./plainWorker.mjs', import.meta.url)),
};
const RESTART_MS = 3_000;

/**
 * `plans` has a data centre, a version and the trouble of each worker; `onEvent` gets what the workers tell.
 * The `kind` is that of all workers: `model`, or `plain` for an application.
 */
export const startWorkers = async (plans, { kind = 'model', onEvent, record, service, store }) => {
  const children = new Set();
  /** Number of requests on which each worker works. */
  const busy = new Map();
  let phase = 'running';

  const start = (plan, address) =>
    new Promise((resolve) => {
      const id = `i-${randomBytes(5).toString('hex')}`;
      const { trouble = {}, version = 'v1', zone } = plan;
      const settings = { id, ...address, service, version, zone, store, trouble };
      const child = fork(PROGRAMS[kind], {
        env: { ...process.env, WORKER: JSON.stringify(settings) },
      });
      children.add(child);
      child.on('message', (event) => {
        const { at, kind: what, worker, ...details } = event;
        record.add(`worker ${worker} ${what} ${JSON.stringify(details)}`, at);
        if (what === 'run-began') busy.set(child, (busy.get(child) ?? 0) + 1);
        if (what === 'run-ended') busy.set(child, (busy.get(child) ?? 0) - 1);
        if (what === 'listens') resolve();
        onEvent(event);
      });
      child.on('exit', (code, signal) => {
        children.delete(child);
        busy.delete(child);
        if (phase === 'ended') return;
        record.add(`worker ${id} ended (${signal ?? code})`);
        onEvent({ kind: 'ended', at: Date.now(), worker: id });
        setTimeout(() => {
          if (phase === 'running') void start(plan, address);
        }, RESTART_MS);
      });
    });

  let started = 0;
  const add = (added) =>
    Promise.all(
      added.map(async (plan) => {
        const host = `127.0.2.${10 + started}`;
        started += 1;
        await start(plan, { host, port: await findFreePort(host) });
      }),
    );
  await add(plans);
  return {
    /** Starts further workers. */
    add,
    /** Kills the worker that works on the most requests. */
    crashBusiest: () => {
      const [busiest] = [...busy].sort(([, left], [, right]) => right - left);
      busiest?.[0].kill('SIGKILL');
    },
    stop: () => {
      phase = 'ended';
      for (const child of children) child.kill('SIGKILL');
    },
  };
};
