/**
 * Stand-in of a model worker. Its answer has no length and ends with its connection, or has chunks;
 * it is complete when all events were sent.
 */
import { createServer } from 'node:http';

export const startStreamWorker = async (
  host,
  id,
  { events, firstMs = 0, gapMs, framing, now, onRun },
) => {
  const server = createServer((incoming, response) => {
    const chunks = [];
    incoming.on('data', (chunk) => chunks.push(chunk));
    incoming.on('error', () => undefined);
    incoming.on('end', () => {
      if (incoming.url === '/-/report') {
        response.setHeader('Content-Type', 'application/json');
        response.end(JSON.stringify({ stage: 'unified', busy: false, state: 'ready', queued: 0 }));
        return;
      }
      if (incoming.url.startsWith('/-/')) {
        response.writeHead(404);
        response.end();
        return;
      }
      const requestId = incoming.headers['request-id'];
      if (incoming.headers['expected-instance'] !== id) {
        response.writeHead(421, { 'Not-Executed': '1', 'Request-Id': requestId });
        response.end();
        return;
      }
      const run = { requestId, worker: id, startedAt: now(), events: 0, endedAt: null };
      onRun(run);
      if (framing === 'until-close') {
        response.shouldKeepAlive = false;
        response.useChunkedEncodingByDefault = false;
      }
      let timer = null;
      const begin = () => {
        response.writeHead(200, {
          'Content-Type': 'text/event-stream',
          'Request-Id': requestId,
          'Response-Signature': `${id}.${requestId}`,
        });
        timer = setInterval(() => {
          run.events += 1;
          response.write(`id: ${run.events}\ndata: token ${run.events}\n\n`);
          if (run.events < events) return;
          clearInterval(timer);
          run.endedAt = now();
          response.end();
        }, gapMs);
      };
      const firstTimer = setTimeout(begin, firstMs);
      response.on('close', () => {
        clearTimeout(firstTimer);
        clearInterval(timer);
      });
    });
  });
  await new Promise((resolve) => server.listen(0, host, resolve));
  return {
    id,
    address: `${host}:${server.address().port}`,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
};
