// Registers a worker in the store, and renews its entry with each heartbeat.
import { request as openRequest } from 'node:http';
import { HEARTBEAT_MS } from './store.mjs';

/** Posts a body to `host:port`; resolves with the status, 0 without an answer. */
export const post = (address, path, body) =>
  new Promise((resolve) => {
    const [host, port] = address.split(':');
    const outgoing = openRequest({ agent: false, host, port, method: 'POST', path }, (incoming) => {
      incoming.resume();
      incoming.on('end', () => resolve(incoming.statusCode));
    });
    outgoing.on('error', () => resolve(0));
    outgoing.end(Buffer.isBuffer(body) ? body : JSON.stringify(body));
  });

/** `entry` has what PROTOCOL.md names but the sequence; resolves once the store has the first one. */
export const register = async (store, id, entry) => {
  let sequence = 0;
  const sendBeat = () => {
    sequence += 1;
    const key = Buffer.from(id);
    const value = Buffer.from(JSON.stringify({ ...entry, sequence }));
    const content = Buffer.concat([Buffer.from([key.length]), key, value]);
    const length = Buffer.alloc(4);
    length.writeUInt32BE(content.length);
    const path = '/-/log-append?topic=keyed.servers&part=0';
    return post(store, path, Buffer.concat([length, content]));
  };
  await sendBeat();
  setInterval(sendBeat, HEARTBEAT_MS);
};
