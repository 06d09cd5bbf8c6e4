// Stand-in of a worker of an application, as a process of its own. A bad version fails a part of its answers.
import { createServer } from 'node:http';
import { register } from './registration.mjs';

const { id, host, port, service, version, zone, store, trouble } = JSON.parse(process.env.WORKER);

const WORK_MS = 21;
const born = Date.now();
let answers = 0;

const tell = (kind, details) => {
  if (process.connected) process.send({ kind, at: Date.now(), worker: id, version, ...details });
};

/** Every answer whose number fits fails, so that the share is exact. */
const isFailed = () => {
  answers += 1;
  return trouble.failOneOf !== undefined && answers % trouble.failOneOf === 0;
};

const serve = (incoming, response) => {
  const { headers, url } = incoming;
  const requestId = headers['request-id'] ?? '';
  if (url === '/health') {
    response.writeHead(200, { 'Instance-Id': id });
    response.end();
    return;
  }
  if (headers['expected-instance'] !== undefined && headers['expected-instance'] !== id) {
    response.writeHead(421, { 'Instance-Id': id });
    response.end();
    return;
  }
  tell('arrived', { id: requestId });
  setTimeout(() => {
    const status = isFailed() ? 500 : 200;
    tell('answered', { id: requestId, status });
    response.writeHead(status, {
      'Request-Id': requestId,
      'Response-Signature': `signed-by-${id}-${requestId}`,
    });
    response.end(`answer of ${version}`);
  }, WORK_MS);
};

const server = createServer((incoming, response) => {
  incoming.resume();
  incoming.on('end', () => serve(incoming, response));
});

server.listen(port, host, () => {
  const address = `${host}:${port}`;
  const entry = { service, address, zone, version, slots: 6, state: 'ready', coldRemainingMs: 0 };
  void register(store, id, { ...entry, born }).then(() => tell('listens', {}));
});
process.on('disconnect', () => process.exit(0));
