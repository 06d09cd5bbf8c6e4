// Stand-in of a model worker, as a process of its own. It serves the part of PROTOCOL.md that a case needs:
// streams, reports, copies of running generations, and its registration in the store.
import { createServer } from 'node:http';
import { post, register } from './registration.mjs';

const settings = JSON.parse(process.env.WORKER);
const { id, host, port, service, version, zone, store, trouble } = settings;

const TOKENS_PER_EVENT = 4;
const EVENT_MS = 28;
const PROMPT_TOKENS_PER_MS = 14;
const BACKUP_MS = 200;

const born = Date.now();
/** Requests that this worker works on. */
const runs = new Map();
/** Copies of generations by handle, or by request id for those that grow. */
const copies = new Map();
let answers = 0;
let handles = 0;

/** Tells the case what this worker sees. */
const tell = (kind, details) => {
  if (process.connected) process.send({ kind, at: Date.now(), worker: id, ...details });
};

const endRun = (run, how) => {
  if (!runs.delete(run.id)) return;
  clearTimeout(run.timer);
  clearInterval(run.backupTimer);
  tell('run-ended', { id: run.id, how, events: run.events });
};

const writeEvent = (run) => {
  const { response } = run;
  const isSpoiled = run.spoilAt !== null && run.events === run.spoilAt;
  const bytes = isSpoiled
    ? `\u0001\u0002 spoiled ${run.events}\n\n`
    : `id: ${run.events}\ndata: token ${run.events} of ${run.id}\n\n`;
  if (isSpoiled) tell('piece-spoiled', { id: run.id, events: run.events });
  if (!response.destroyed) response.write(bytes);
};

/** What the worker has written leaves before it crashes. */
const crash = (run) => {
  tell('crashes', { id: run.id, events: run.events });
  setTimeout(() => process.kill(process.pid, 'SIGKILL'), 20);
};

const step = (run) => {
  if (run.events === run.from) tell('run-began', { id: run.id, from: run.from });
  if (run.crashAt === 0) {
    crash(run);
    return;
  }
  run.events += 1;
  writeEvent(run);
  if (run.crashAt !== null && run.events - run.from >= run.crashAt) {
    crash(run);
    return;
  }
  if (run.events >= run.total) {
    run.response.end();
    endRun(run, 'complete');
    return;
  }
  run.timer = setTimeout(step, EVENT_MS, run);
};

const growBackup = (run, target) => {
  run.backupTimer = setInterval(() => {
    void post(target, '/standin/copy', { handle: run.id, events: run.events });
  }, BACKUP_MS);
};

const startRun = (incoming, response, body) => {
  const { headers } = incoming;
  const requestId = headers['request-id'];
  const [prompt, output] = (headers['token-count'] ?? '100,40').split(',').map(Number);
  const from = Number(headers['last-event-id'] ?? 0);
  const [, handle] = (headers['kv-from'] ?? '').split('/');
  if (headers['kv-from'] !== undefined && !copies.delete(handle)) {
    response.writeHead(503, { 'Not-Executed': '1', 'Request-Id': requestId });
    response.end();
    tell('refused', { id: requestId });
    return;
  }
  answers += 1;
  const isPoison = trouble.poison !== undefined && body.includes(trouble.poison);
  const run = {
    id: requestId,
    response,
    from,
    events: from,
    total: Math.max(from + 1, Math.ceil(output / TOKENS_PER_EVENT)),
    timer: null,
    backupTimer: null,
    crashAt: isPoison ? trouble.crashAt : null,
    spoilAt: trouble.spoilAnswer === answers ? from + trouble.spoilEvent : null,
  };
  runs.set(requestId, run);
  // An answer without a length ends with its connection.
  if (trouble.framing === 'none') response.useChunkedEncodingByDefault = false;
  response.writeHead(200, {
    'Content-Type': 'text/event-stream',
    'Request-Id': requestId,
    'Response-Signature': `signed-by-${id}-${requestId}`,
  });
  response.flushHeaders();
  const waitMs = handle === undefined ? prompt / PROMPT_TOKENS_PER_MS : 10;
  run.timer = setTimeout(step, waitMs, run);
  if (headers['kv-backup'] !== undefined) growBackup(run, headers['kv-backup']);
  response.on('close', () => {
    if (response.writableFinished) return;
    tell('connection-closed', { id: requestId, events: run.events });
    if (trouble.onClose !== 'runs-on') endRun(run, 'dropped');
  });
};

const moveRun = async (response, { id: requestId, last, target }) => {
  const run = runs.get(requestId);
  if (run === undefined) {
    response.writeHead(404);
    response.end();
    return;
  }
  handles += 1;
  const handle = `${id}-${handles}`;
  if (last) {
    endRun(run, 'moved');
    copies.set(handle, run.events);
    run.response.destroy();
  }
  await post(target, '/standin/copy', { handle, events: run.events });
  response.writeHead(200, { 'Content-Type': 'application/json' });
  response.end(JSON.stringify({ handle, created: run.events }));
};

const sendReport = (response) => {
  response.writeHead(200, { 'Content-Type': 'application/json' });
  response.end(
    JSON.stringify({
      stage: 'unified',
      models: [{ name: 'm', version: 1, adapters: [] }],
      busy: false,
      sequence: 0,
      queued: 0,
      active: runs.size,
      kvUsed: 0,
      kvTotal: 34323,
      handles: copies.size,
      state: 'ready',
      runs: [...runs.values()].map((run) => [run.id, 0, run.events, 5]),
    }),
  );
};

const serve = (incoming, response, body) => {
  const { headers, method, url } = incoming;
  if (url === '/-/report') sendReport(response);
  else if (url === '/-/kv-move') void moveRun(response, JSON.parse(body));
  else if (url === '/standin/copy') {
    const { events, handle } = JSON.parse(body);
    copies.set(handle, events);
    response.end();
  } else if (method === 'DELETE' || url === '/health') {
    response.writeHead(200, { 'Instance-Id': id });
    response.end();
  } else if (headers['expected-instance'] !== undefined && headers['expected-instance'] !== id) {
    response.writeHead(421, { 'Instance-Id': id });
    response.end();
  } else {
    tell('arrived', { id: headers['request-id'], kvFrom: headers['kv-from'] ?? '' });
    startRun(incoming, response, body);
  }
};

const server = createServer((incoming, response) => {
  const chunks = [];
  incoming.on('data', (chunk) => chunks.push(chunk));
  incoming.on('end', () => serve(incoming, response, Buffer.concat(chunks).toString()));
});

server.listen(port, host, () => {
  const entry = {
    service,
    address: `${host}:${port}`,
    zone,
    version,
    slots: 32,
    state: 'ready',
    coldRemainingMs: 0,
    stage: 'unified',
    models: [{ name: 'm', version: 1, adapters: [] }],
    born,
  };
  void register(store, id, entry).then(() => tell('listens', {}));
});
process.on('disconnect', () => process.exit(0));
