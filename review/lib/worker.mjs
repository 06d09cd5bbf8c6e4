/** Stand-in of a plain worker: it runs a request, records that, and answers after its work. */
import { createServer } from 'node:http';

export const startWorker = async (host, id, { workMs, now, onRun }) => {
  const server = createServer((incoming, response) => {
    const chunks = [];
    incoming.on('data', (chunk) => chunks.push(chunk));
    incoming.on('end', () => {
      const requestId = incoming.headers['request-id'];
      const expected = incoming.headers['expected-instance'];
      if (expected !== undefined && expected !== id) {
        response.writeHead(421, { 'Not-Executed': '1', 'Request-Id': requestId });
        response.end();
        return;
      }
      const bytes = chunks.reduce((sum, chunk) => sum + chunk.length, 0);
      onRun({ at: now(), worker: id, requestId, bytes, tenant: incoming.headers['tenant-id'] });
      setTimeout(() => {
        if (response.destroyed) return;
        response.writeHead(200, {
          'Request-Id': requestId,
          'Response-Signature': `${id}.${requestId}`,
        });
        response.end(`answer to ${requestId}`);
      }, workMs);
    });
    incoming.on('error', () => undefined);
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
