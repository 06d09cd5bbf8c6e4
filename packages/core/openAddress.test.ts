import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import test from 'ava';
import { openAddress, openListener } from './openAddress.js';

const HOST = '127.0.0.1';

const openServer = (server: Server, port: number): Promise<void> =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, HOST, () => {
      server.off('error', reject);
      resolve();
    });
  });

// Guards against a daemon that does not start because the process before it has not ended yet.
test('an address is opened once the process that holds it ends', async (t) => {
  const holder = createServer();
  await openServer(holder, 0);
  const { port } = holder.address() as AddressInfo;
  const server = createServer();
  t.teardown(() => server.close());
  const codes: unknown[] = [];
  await openAddress(
    () => openServer(server, port),
    (error) => {
      codes.push('code' in error ? error.code : '');
      holder.close();
    },
  );
  t.true(server.listening);
  t.deepEqual(codes, ['EADDRINUSE']);
});

// Guards against a start that hangs on an error that does not pass.
test('any other error is thrown at once', async (t) => {
  const error = Object.assign(new Error('no'), { code: 'EACCES' });
  let tries = 0;
  const open = (): Promise<void> => {
    tries += 1;
    return Promise.reject(error);
  };
  await t.throwsAsync(
    openAddress(open, () => undefined),
    { is: error },
  );
  t.is(tries, 1);
});

// Guards against a listener that stays from each failed try and is called when the server opens.
test('a failed try leaves nothing in the server', async (t) => {
  const holder = createServer();
  await openServer(holder, 0);
  t.teardown(() => holder.close());
  const { port } = holder.address() as AddressInfo;
  const server = createServer();
  for (let tries = 0; tries < 3; tries += 1)
    await t.throwsAsync(openListener(server, { host: HOST, port }), { code: 'EADDRINUSE' });
  t.is(server.listenerCount('listening') + server.listenerCount('error'), 0);
});

// Guards against a daemon that goes on to open an address after it has stopped.
test('the signal ends the tries', async (t) => {
  const abort = new AbortController();
  const error = Object.assign(new Error('in use'), { code: 'EADDRINUSE' });
  const opened = openAddress(
    () => Promise.reject(error),
    () => {
      abort.abort();
    },
    { maxWaitMs: Infinity, signal: abort.signal },
  );
  await t.throwsAsync(opened, { name: 'AbortError' });
});
