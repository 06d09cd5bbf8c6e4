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
      from.on('end', () => {
        if (link.state === 'passing') to.end();
      });
      from.on('close', (hadError) => {
        // The end of one side of a silent connection does not reach the other side.
        if (link.state === 'silent') return;
        open.delete(link);
        if (hadError) to.resetAndDestroy();
        else to.destroy();
      });
    };
    forward(incoming, outgoing);
    forward(outgoing, incoming);
  });
  await new Promise((resolve) => server.listen(0, host, resolve));
  return {
    host,
    port: server.address().port,
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
