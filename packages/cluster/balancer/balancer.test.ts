import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import { startBalancer } from './balancer.js';

const startTarget = async (name: string) => {
  const server = createServer((_request, response) => {
    response.writeHead(200, { connection: 'close' }).end(name);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  return { url: `http://127.0.0.1:${port.toString()}`, close: () => server.close() };
};

const fetchName = async (url: string): Promise<string> =>
  (await fetch(url, { headers: { connection: 'close' } })).text();

// Guards against connections to an unreachable entry daemon, and against all connections to a
// single one.
test('connections are distributed round-robin and skip a target that refuses them', async (t) => {
  const [first, second] = [await startTarget('first'), await startTarget('second')];
  const urls = [first.url, 'http://127.0.0.1:1', second.url];
  const balancer = await startBalancer({ port: 0, listTargets: () => urls });
  t.teardown(async () => {
    await balancer.close();
    first.close();
    second.close();
  });
  const names = [
    await fetchName(balancer.url),
    await fetchName(balancer.url),
    await fetchName(balancer.url),
  ];
  t.deepEqual(names, ['first', 'second', 'second']);
});

// Guards against a caller that waits forever when no entry daemon is left.
test('a connection is closed when there is no target', async (t) => {
  const balancer = await startBalancer({ port: 0, listTargets: () => [] });
  t.teardown(balancer.close);
  await t.throwsAsync(fetchName(balancer.url));
});
