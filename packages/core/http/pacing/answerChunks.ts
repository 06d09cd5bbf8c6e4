import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { createChunkJoiner } from './chunkJoiner.js';
import type { ChunkJoiner } from './chunkJoiner.js';
import { createEmptyLineFinder } from './messageEnds.js';
import { assertNever } from '../../assertNever.js';

/** What the next bytes of an answer are. */
type AnswerPhase =
  /** The head, or that of an interim answer before it. */
  | { readonly kind: 'head' }
  | { readonly kind: 'chunks'; readonly joiner: ChunkJoiner }
  /** A body without chunks. */
  | { readonly kind: 'plain' };

const NOTHING = Buffer.alloc(0);

const HEAD: AnswerPhase = { kind: 'head' };
const PLAIN: AnswerPhase = { kind: 'plain' };

/** The last coding of a body in chunks, as the parser of Node.js reads it. */
const IN_CHUNKS = /(?:^|,)\s*chunked\s*$/iu;

const findPhase = ({ headers }: IncomingMessage): AnswerPhase =>
  IN_CHUNKS.test(headers['transfer-encoding'] ?? '')
    ? { kind: 'chunks', joiner: createChunkJoiner() }
    : PLAIN;

type ParseBytes = (bytes: Buffer) => void;

/** Takes the place of the listener with which the HTTP client passes bytes to its parser. */
const takeParser = (socket: Socket, receive: ParseBytes): ParseBytes => {
  const [listener] = socket.listeners('data') as ParseBytes[];
  if (listener === undefined) throw new Error('the HTTP client does not read its connection');
  socket.off('data', listener);
  socket.on('data', receive);
  return listener.bind(socket);
};

/**
 * Joins the chunks of an answer before the parser gets them, which calls back for each: a service can send ten
 * thousand chunks in one read. To be called before the request is sent.
 *
 * @param outgoing - request
 * @param onBody - receives the number of bytes of the answer's body and its framing, before they are parsed
 */
export const joinAnswerChunks = (
  outgoing: ClientRequest,
  onBody: (answer: IncomingMessage, bytes: number) => void,
): void => {
  const finder = createEmptyLineFinder();
  let phase: AnswerPhase = HEAD;
  let answer: IncomingMessage | null = null;
  let parse: ParseBytes = () => undefined;

  /** Hands on bytes up to the end of a head, with which the client emits the answer. */
  const handOnHead = (bytes: Buffer): Buffer => {
    const end = finder.find(bytes);
    if (end === -1) finder.append(bytes);
    else finder.clear();
    const head = end === -1 ? bytes : bytes.subarray(0, end);
    parse(head);
    return bytes.subarray(head.length);
  };

  /** The parser is gone after the end of the answer; bytes behind it belong to no request. */
  const isOpen = (): boolean => outgoing.socket?.destroyed === false && answer?.complete !== true;

  const handOnChunks = (bytes: Buffer, joiner: ChunkJoiner): Buffer => {
    const { parts, takenBytes } = joiner.join(bytes);
    for (const part of parts) if (isOpen()) parse(part as Buffer);
    return takenBytes === 0 ? NOTHING : bytes.subarray(takenBytes);
  };

  /** Hands on the next bytes; returns those that are left. */
  const handOnNext = (bytes: Buffer): Buffer => {
    if (answer !== null) onBody(answer, bytes.length);
    switch (phase.kind) {
      case 'head':
        return handOnHead(bytes);
      case 'chunks':
        return handOnChunks(bytes, phase.joiner);
      case 'plain':
        parse(bytes);
        return NOTHING;
      default:
        return assertNever(phase);
    }
  };

  /** Leaves the connection to the next request; one with bytes that belong to none is closed. */
  const leaveConnection = (socket: Socket, left: Buffer): void => {
    socket.off('data', receive);
    if (left.length > 0) socket.destroy();
  };

  const receive = (bytes: Buffer): void => {
    const { socket } = outgoing;
    let left = bytes;
    while (left.length > 0 && isOpen()) left = handOnNext(left);
    if (socket !== null && answer?.complete === true) leaveConnection(socket, left);
  };

  outgoing.on('response', (incoming) => {
    answer = incoming;
    phase = findPhase(incoming);
  });
  outgoing.on('socket', (socket: Socket) => {
    parse = takeParser(socket, receive);
  });
};
