// A client of the platform: each try on a new connection, as the pages say of repeats.
import { request as openRequest } from 'node:http';
import { randomBytes } from 'node:crypto';

export const createId = () => randomBytes(8).toString('hex');

/** Sends a request; resolves with its status, its headers, its body and how it ended. */
export const sendRequest = ({ host, port }, { headers, method = 'POST', path, body = '' }) =>
  new Promise((resolve) => {
    const chunks = [];
    let answer = null;
    const finish = (end) => {
      clearTimeout(timer);
      resolve({
        end,
        status: answer?.statusCode ?? 0,
        headers: answer?.headers ?? {},
        body: Buffer.concat(chunks).toString(),
      });
    };
    const length = Buffer.byteLength(body);
    const outgoing = openRequest({
      agent: false,
      host,
      port,
      method,
      path,
      headers: { ...headers, ...(length > 0 ? { 'Content-Length': length } : {}) },
    });
    const timer = setTimeout(() => {
      finish('deadline');
      outgoing.destroy();
    }, Number(headers['Deadline-Ms']));
    outgoing.on('error', () => finish(answer === null ? 'no answer' : 'cut'));
    outgoing.on('response', (incoming) => {
      answer = incoming;
      incoming.on('data', (chunk) => chunks.push(chunk));
      incoming.on('end', () => finish('whole'));
      incoming.on('error', () => finish('cut'));
      incoming.on('close', () => finish(incoming.complete ? 'whole' : 'cut'));
    });
    outgoing.end(body);
  });
