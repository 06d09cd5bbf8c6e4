// Stand-in of the platform's store: topics that keep the newest record of each key, as PROTOCOL.md
// describes them. Registrations that are not renewed for three heartbeats are removed.
import { createServer } from 'node:http';

export const HEARTBEAT_MS = 1200;
const POLL_MS = 5;
const PAGE_ITEMS = 500;

const encode = ({ key, value }) => {
  const name = Buffer.from(key);
  const content = Buffer.concat([Buffer.from([name.length]), name, value ?? Buffer.alloc(0)]);
  const length = Buffer.alloc(4);
  length.writeUInt32BE(content.length);
  return Buffer.concat([length, content]);
};

const decode = (bytes) => {
  const records = [];
  for (let start = 0; start + 4 <= bytes.length;) {
    const end = start + 4 + bytes.readUInt32BE(start);
    const content = bytes.subarray(start + 4, end);
    const from = 1 + content[0];
    const value = content.length > from ? Buffer.from(content.subarray(from)) : null;
    records.push({ key: content.toString('utf8', 1, from), value });
    start = end;
  }
  return records;
};

export const startStore = async (host, port) => {
  const topics = new Map();
  const beats = new Map();
  let turnedAway = new Set();

  const getTopic = (name) => {
    if (!topics.has(name)) topics.set(name, { records: [], first: 0 });
    return topics.get(name);
  };

  const append = (name, records) => {
    const topic = getTopic(name);
    const offset = topic.records.length;
    for (const record of records) {
      topic.records.push(record);
      if (name !== 'keyed.servers') continue;
      if (record.value === null) beats.delete(record.key);
      else beats.set(record.key, Date.now());
    }
    return { offset, endOffset: topic.records.length };
  };

  const listNewest = (topic) => {
    const newest = new Map();
    topic.records.forEach(({ key, value }, offset) => {
      newest.delete(key);
      if (value !== null) newest.set(key, { key, value: value.toString('base64'), offset });
    });
    return [...newest.values()];
  };

  const answerJson = (response, status, body) => {
    response.writeHead(status, { 'Content-Type': 'application/json' });
    response.end(JSON.stringify(body));
  };

  const serveNewest = (query, response) => {
    const topic = getTopic(query.get('topic'));
    const all = listNewest(topic);
    const after = query.get('after');
    const start = after === null ? 0 : all.findIndex(({ key }) => key === after) + 1;
    answerJson(response, 200, {
      items: all.slice(start, start + PAGE_ITEMS),
      hasMore: start + PAGE_ITEMS < all.length,
      endOffset: topic.records.length,
    });
  };

  const serveRead = (query, response) => {
    const topic = getTopic(query.get('topic'));
    const from = Number(query.get('from'));
    const until = Date.now() + Number(query.get('waitMs') ?? 0);
    const maxBytes = Number(query.get('maxKb') ?? 1024) * 1024;
    const send = () => {
      if (from < topic.first) {
        answerJson(response, 410, { firstOffset: topic.first });
        return;
      }
      if (topic.records.length <= from && Date.now() < until) {
        setTimeout(send, POLL_MS);
        return;
      }
      const head = Buffer.alloc(16);
      head.writeBigUInt64BE(BigInt(topic.records.length), 0);
      head.writeBigUInt64BE(BigInt(topic.first), 8);
      const parts = [head];
      let bytes = 0;
      for (const record of topic.records.slice(from)) {
        const encoded = encode(record);
        bytes += encoded.length;
        if (parts.length > 1 && bytes > maxBytes) break;
        parts.push(encoded);
      }
      response.end(Buffer.concat(parts));
    };
    send();
  };

  const serveAppend = (incoming, query, response) => {
    const chunks = [];
    incoming.on('data', (chunk) => chunks.push(chunk));
    incoming.on('end', () => {
      const topic = getTopic(query.get('topic'));
      const at = query.get('at');
      if (at !== null && Number(at) !== topic.records.length) {
        answerJson(response, 412, { endOffset: topic.records.length });
        return;
      }
      answerJson(response, 200, append(query.get('topic'), decode(Buffer.concat(chunks))));
    });
  };

  const server = createServer((incoming, response) => {
    if (turnedAway.has(incoming.socket.remoteAddress)) {
      incoming.resume();
      answerJson(response, 503, {});
      return;
    }
    const { pathname, searchParams } = new URL(incoming.url, 'http://store');
    if (pathname === '/-/log-newest') serveNewest(searchParams, response);
    else if (pathname === '/-/log-read') serveRead(searchParams, response);
    else if (pathname === '/-/log-append') serveAppend(incoming, searchParams, response);
    else answerJson(response, 404, {});
  });
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });

  const expiry = setInterval(() => {
    for (const [key, at] of beats)
      if (Date.now() - at > 3 * HEARTBEAT_MS) append('keyed.servers', [{ key, value: null }]);
  }, 100);

  return {
    address: `${host}:${port}`,
    put: (topic, key, value) => append(topic, [{ key, value: Buffer.from(JSON.stringify(value)) }]),
    putBytes: (topic, key, value) => append(topic, [{ key, value }]),
    remove: (topic, key) => append(topic, [{ key, value: null }]),
    /** Deletes all records but the newest of each key. */
    compact: (name) => {
      const topic = getTopic(name);
      topic.first = topic.records.length;
    },
    /** Answers the calls of these addresses with 503, and those of all others as usual. */
    turnAway: (hosts) => {
      turnedAway = new Set(hosts);
    },
    close: () => {
      clearInterval(expiry);
      server.close();
      server.closeAllConnections();
    },
  };
};
