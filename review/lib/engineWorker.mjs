/**
 * Stand-in of a model worker that keeps a growing copy of a run at another worker (`Kv-Backup`) and
 * goes on from such a copy (`Kv-From`). It drops a run when its connection closes.
 */
import { createServer } from 'node:http';

/** Interval at which a copy grows. */
const COPY_MS = 200;

/** `handleS`: a copy is kept for this time after its last part. */
const COPY_EXPIRY_MS = 5_000;

const refuse = (response, status, requestId) => {
  response.writeHead(status, { 'Not-Executed': '1', 'Request-Id': requestId });
  response.end();
};

/**
 * Starts the worker. `copies` is shared by all workers: it stands for the memory that they hold.
 * `getPublicAddress` returns the address under which the worker is registered.
 */
export const startEngineWorker = async (host, id, options) => {
  const { copies, countEvents, gapMs, getPublicAddress, now, onRun } = options;

  const takeCopy = (from) => {
    const copy = copies.get(from);
    copies.delete(from);
    return copy !== undefined && now() - copy.grownAt < COPY_EXPIRY_MS ? copy : null;
  };

  const serve = (incoming, response) => {
    const { headers, url } = incoming;
    const requestId = headers['request-id'];
    if (headers['expected-instance'] !== id) {
      refuse(response, 421, requestId);
      return;
    }
    const from = headers['kv-from'];
    if (from !== undefined) {
      const isHere = from.startsWith(`${getPublicAddress()}/`);
      if (!isHere || takeCopy(from) === null) {
        refuse(response, 503, requestId);
        return;
      }
    }
    const total = countEvents(url);
    const first = Number(headers['last-event-id'] ?? 0);
    const run = {
      requestId,
      worker: id,
      start: from === undefined ? 'begun' : `went on from the copy after event ${first}`,
      startedAt: now(),
      lastEventAt: null,
      events: first,
      end: null,
    };
    onRun(run);
    const backup = headers['kv-backup'];
    const copyName = `${backup}/${requestId}`;
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'Request-Id': requestId,
      'Response-Signature': `${id}.${requestId}`,
    });
    const growCopy = () => {
      if (backup !== undefined) copies.set(copyName, { grownAt: now() });
    };
    growCopy();
    const copyTimer = setInterval(growCopy, COPY_MS);
    const stop = (end) => {
      if (run.end !== null) return;
      run.end = { kind: end, at: now() };
      clearInterval(timer);
      clearInterval(copyTimer);
    };
    const timer = setInterval(() => {
      run.events += 1;
      run.lastEventAt = now();
      response.write(`id: ${run.events}\ndata: token ${run.events}\n\n`);
      if (run.events < total) return;
      stop('complete');
      copies.delete(copyName);
      response.end();
    }, gapMs);
    response.on('close', () => stop('dropped'));
  };

  const server = createServer((incoming, response) => {
    incoming.on('data', () => undefined);
    incoming.on('error', () => undefined);
    incoming.on('end', () => {
      if (incoming.url === '/-/report') {
        response.setHeader('Content-Type', 'application/json');
        response.end(JSON.stringify({ stage: 'unified', busy: false, state: 'ready', queued: 0 }));
      } else if (incoming.url.startsWith('/-/')) {
        response.writeHead(404);
        response.end();
      } else serve(incoming, response);
    });
  });
  await new Promise((resolve) => server.listen(0, host, resolve));
  return {
    id,
    port: server.address().port,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
};
