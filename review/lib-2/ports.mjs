// Free ports of loopback addresses. None of them is given to outgoing connections.
import { createServer } from 'node:net';

const FIRST_PORT = 12_000;
const PORT_COUNT = 18_000;

const isFree = (host, port) =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });

export const findFreePort = async (host) => {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
    if (await isFree(host, port)) return port;
  }
};
