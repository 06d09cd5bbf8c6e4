/**
 * Stand-in of the platform's store: keyed topics on a log, as PROTOCOL.md describes them. It keeps
 * everything that it acknowledged, and its answers are linearizable.
 */
import { createServer } from 'node:http';

const HEADER_BYTES = 16;
const LENGTH_BYTES = 4;
const POLL_MS = 5;

/** Idle connections are kept for a while, as common servers do. */
const KEEP_ALIVE_MS = 75_000;

const encodeRecord = ({ key, value }) => {
  const keyBytes = Buffer.from(key);
  const body = Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, value ?? Buffer.alloc(0)]);
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(body.length);
  return Buffer.concat([length, body]);
};

const decodeAppended = (bytes) => {
  const content = bytes.subarray(LENGTH_BYTES, LENGTH_BYTES + bytes.readUInt32BE(0));
  const valueStart = 1 + content[0];
  return {
    key: content.toString('utf8', 1, valueStart),
    value: content.length > valueStart ? Buffer.from(content.subarray(valueStart)) : null,
  };
};

export const startStore = async (host) => {
  const topics = new Map();
  const getTopic = (name) => {
    if (!topics.has(name)) topics.set(name, []);
    return topics.get(name);
  };

  const serveNewest = (query, response) => {
    const records = getTopic(query.get('topic'));
    const newest = new Map();
    for (const [offset, { key, value }] of records.entries()) {
      newest.delete(key);
      if (value !== null) newest.set(key, { key, value: value.toString('base64'), offset });
    }
    response.setHeader('content-type', 'application/json');
    response.end(
      JSON.stringify({ items: [...newest.values()], hasMore: false, endOffset: records.length }),
    );
  };

  const serveRead = (query, response) => {
    const from = Number(query.get('from'));
    const until = Date.now() + Number(query.get('waitMs') ?? 0);
    const answer = () => {
      if (response.destroyed) return;
      const records = getTopic(query.get('topic'));
      if (records.length <= from && Date.now() < until) {
        setTimeout(answer, POLL_MS);
        return;
      }
      const header = Buffer.alloc(HEADER_BYTES);
      header.writeBigUInt64BE(BigInt(records.length), 0);
      response.end(Buffer.concat([header, ...records.slice(from).map(encodeRecord)]));
    };
    answer();
  };

  const serveAppend = (incoming, query, response) => {
    const chunks = [];
    incoming.on('data', (chunk) => chunks.push(chunk));
    incoming.on('end', () => {
      const records = getTopic(query.get('topic'));
      records.push(decodeAppended(Buffer.concat(chunks)));
      response.end(JSON.stringify({ offset: records.length - 1, endOffset: records.length }));
    });
  };

  const server = createServer((incoming, response) => {
    const { pathname, searchParams } = new URL(incoming.url, 'http://store');
    if (pathname === '/-/log-append') serveAppend(incoming, searchParams, response);
    else if (pathname === '/-/log-newest') serveNewest(searchParams, response);
    else if (pathname === '/-/log-read') serveRead(searchParams, response);
    else {
      response.statusCode = 404;
      response.end();
    }
  });
  server.keepAliveTimeout = KEEP_ALIVE_MS;
  await new Promise((resolve) => server.listen(0, host, resolve));
  return {
    port: server.address().port,
    /** Writes a record as an operator or a worker does; returning is the acknowledgement. */
    put: (topic, key, value) => {
      getTopic(topic).push({ key, value: Buffer.from(JSON.stringify(value)) });
    },
    remove: (topic, key) => {
      getTopic(topic).push({ key, value: null });
    },
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
};
