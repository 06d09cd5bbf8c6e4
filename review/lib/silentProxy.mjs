/** Proxy whose open connections can fall silent for good, without a reset, while new ones work. */
import { connect, createServer } from 'node:net';

export const startSilentProxy = async (host, target) => {
  const open = new Set();
  const server = createServer({ noDelay: true }, (incoming) => {
    const outgoing = connect({ ...target, noDelay: true });
    const link = { state: 'passing', incoming, outgoing };
    open.add(link);
    const forward = (from, to) => {
      from.on('data', (bytes) => {
        if (link.state === 'passing') to.write(bytes);
      });
      from.on('error', () => undefined);
      from.on('close', () => {
        if (link.state === 'passing') to.destroy();
        if (incoming.destroyed) {
          outgoing.destroy();
          open.delete(link);
        }
      });
    };
    forward(incoming, outgoing);
    forward(outgoing, incoming);
  });
  await new Promise((resolve) => server.listen(0, host, resolve));
  return {
    port: server.address().port,
    countOpen: () => open.size,
    silence: () => {
      for (const link of open) link.state = 'silent';
      return open.size;
    },
    close: () => {
      server.close();
      for (const { incoming, outgoing } of open) {
        incoming.destroy();
        outgoing.destroy();
      }
    },
  };
};
