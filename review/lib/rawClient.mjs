/** Client of the gateway on a bare connection, which records how the answer ended. */
import { connect } from 'node:net';

const formatHeaders = (headers) =>
  Object.entries(headers)
    .map(([name, value]) => `${name}: ${value}\r\n`)
    .join('');

/**
 * Sends one request and resolves with the head, the body and how the connection ended: `end` is an
 * orderly end, anything else the code of an error.
 */
export const sendRaw = ({ host, port }, { method, path, headers, body = '' }) =>
  new Promise((resolve) => {
    const socket = connect({ host, port });
    const chunks = [];
    let ended = null;
    const length =
      body === '' && method === 'GET' ? {} : { 'Content-Length': Buffer.byteLength(body) };
    socket.on('connect', () => {
      socket.write(
        `${method} ${path} HTTP/1.1\r\n${formatHeaders({ ...headers, ...length })}\r\n${body}`,
      );
    });
    socket.on('data', (bytes) => chunks.push(bytes));
    socket.on('end', () => {
      ended ??= 'end';
    });
    socket.on('error', (error) => {
      ended = error.code;
    });
    socket.on('close', () => {
      const text = Buffer.concat(chunks).toString();
      const split = text.indexOf('\r\n\r\n');
      const head = split === -1 ? '' : text.slice(0, split);
      resolve({
        status: Number(/^HTTP\/1\.1 (\d+)/.exec(head)?.[1] ?? 0),
        head,
        body: split === -1 ? '' : text.slice(split + 4),
        ended: ended ?? 'closed',
      });
    });
  });

/** Reports the framing that the head of an answer states. */
export const readFraming = (head) => {
  if (/^transfer-encoding:.*chunked/im.test(head)) return 'chunked';
  if (/^content-length:/im.test(head)) return 'length';
  return 'until-close';
};
