import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { findFraming, takeBody } from './bodyFraming.js';
import type { ConnectionPlace, ConnectionTable } from './connectionTable.js';
import { REQUEST_OVERHEAD_BYTES, STRING_OVERHEAD_BYTES } from './constants.js';
import { createHeldBytes } from './heldBytes.js';
import type { HeldChunk } from './heldBytes.js';
import { countLineEnds, countLines, createEmptyLineFinder } from './messageEnds.js';
import { createPacedStream } from './pacedStream.js';
import type { PacedStream } from './pacedStream.js';
import { ANSWER, BETWEEN, ENDED, HEAD } from './pacingPhase.js';
import type { AskingPhase, BodyPhase, PacingPhase } from './pacingPhase.js';
import type { RequestRoom, RoomResult } from './requestRoom.js';
import { assertNever } from '../../assertNever.js';
import type { Clock, Millis } from '../../clock.js';
import { runAfterReads } from '../../loop/runAfterReads.js';
import type { TurnQueue } from '../../loop/turnQueue.js';

/** Arrival of a request whose head was handed on. */
export interface PacedArrival {
  /** Instant at which the last byte of its head was read. */
  readonly receivedAt: Millis;
  /** Whether memory is reserved for it; it is released when its answer or its connection ends. */
  readonly room: RoomResult;
}

/** Arrival of a request whose end the pacing did not see. */
export const UNPACED_ARRIVAL: PacedArrival = { receivedAt: 0, room: 'refused' };

/** Hands the bytes of one connection to the HTTP server, one request after the other. */
export interface RequestPacing {
  readonly stream: PacedStream;
  /** Records that the HTTP server has parsed the head of a request. */
  readonly beginRequest: (incoming: IncomingMessage, response: ServerResponse) => void;
  /** Returns the arrival of the request whose answer is due. */
  readonly getArrival: () => PacedArrival;
}

/** Why a connection is closed by its pacing. */
export type PacingCloseCause =
  /** Its room was needed for others. */
  | 'no-room'
  /** The body of an answered request is longer than any body may be. */
  | 'endless-body';

export interface PacingOptions {
  readonly clock: Clock;
  readonly table: ConnectionTable;
  readonly room: RequestRoom;
  /** Steps in which the bytes of all connections of the listener are handed on. */
  readonly turns: TurnQueue;
  /** Returns the size limit of a body, also of one whose request has been answered. */
  readonly getMaxBodyBytes: () => number;
  /** Called before a connection is closed by its pacing. */
  readonly onClose: (stream: PacedStream, cause: PacingCloseCause) => void;
}

/** Memory of held bytes above which a connection is not read on, so that its sender waits. */
const MAX_HELD_BYTES = 64 * 1024;

/** Name and value of a header are two strings. */
const STRINGS_PER_LINE = 2;

/** Estimates what the parser makes of a head, or of a part of one. */
const estimateHead = (bytes: number, lines: number): number =>
  bytes + lines * STRINGS_PER_LINE * STRING_OVERHEAD_BYTES;

/**
 * Creates the pacing of a connection. The HTTP server gets the bytes of one request at a time: the next
 * head is handed on once the answer before it has been sent, and memory is reserved for it. So what
 * callers send becomes at most one request of each connection. Bytes behind it are held as they are,
 * and a sender of more has to wait.
 *
 * @param socket - accepted connection
 * @param options - clock and memory
 * @returns the pacing, or null if there is no room for the connection
 */
export const createRequestPacing = (
  socket: Socket,
  options: PacingOptions,
): RequestPacing | null => {
  const { clock, room, table, turns } = options;
  const held = createHeldBytes();
  const finder = createEmptyLineFinder();
  const stream = createPacedStream(socket, held.countBytes);
  let phase: PacingPhase = HEAD;
  /** Bytes and lines of the head that have been handed on; 0 between two heads. */
  let partialBytes = 0;
  let partialLines = 0;
  /** Whether bytes wait for a turn in which they are handed on. */
  let turn: 'none' | 'waiting' = 'none';
  let reading: 'on' | 'paused' = 'on';
  /** Whether the answer that is due is the last one, since what followed it was dropped. */
  let order: 'continues' | 'last' = 'continues';
  let arrival = UNPACED_ARRIVAL;
  /** Memory that is reserved for the request whose answer is due. */
  let reservedBytes = 0;
  let due: ServerResponse | null = null;
  let answered: 'none' | 'some' = 'none';

  // The phase also changes in functions that are called meanwhile, which the compiler cannot know.
  const getPhase = (): PacingPhase => phase;

  const releaseRequest = (): void => {
    const bytes = reservedBytes;
    reservedBytes = 0;
    arrival = UNPACED_ARRIVAL;
    if (bytes > 0) room.release(bytes);
  };

  const endPhase = (): void => {
    if (phase.kind === 'asking') phase.cancel();
    phase = ENDED;
    held.limitTo(0);
  };

  const close = (cause: PacingCloseCause): void => {
    options.onClose(stream, cause);
    stream.destroy();
  };

  const closeWithoutRoom = (): void => {
    close('no-room');
  };

  /** Drops the bytes behind a request that has been read whole, which becomes the last one. */
  const dropHeld = (): void => {
    switch (phase.kind) {
      case 'answer':
        held.limitTo(0);
        order = 'last';
        if (due !== null) due.shouldKeepAlive = false;
        return;
      case 'asking':
        held.limitTo(phase.end);
        order = 'last';
        phase.cancel();
        phase.result ??= 'refused';
        handOn();
        return;
      case 'between':
      case 'head':
      case 'body':
      case 'ended':
        closeWithoutRoom();
        return;
      default:
        assertNever(phase);
    }
  };

  const isIdle = (): boolean => {
    if (held.countBytes() > 0) return false;
    // The caller of a new connection may have sent its first request.
    if (phase.kind === 'head') return partialBytes === 0 && answered === 'some';
    return phase.kind === 'answer' && due?.writableEnded === true;
  };

  const closeIdle = (): void => {
    if (isIdle()) stream.destroy();
  };

  const entry = table.add({ close: closeWithoutRoom, closeIdle, dropHeld });
  if (entry === null) return null;

  const findPlace = (): ConnectionPlace => {
    switch (phase.kind) {
      case 'head':
        if (partialBytes > 0) return 'reading';
        // The caller has sent its request, and this daemon is late.
        return turn === 'waiting' && held.countBytes() > 0 ? 'due' : 'idle';
      case 'body':
        return 'receiving';
      case 'asking':
      case 'answer':
      case 'between':
        return 'due';
      case 'ended':
        return 'idle';
      default:
        return assertNever(phase);
    }
  };

  const updateReading = (): void => {
    const next = held.getMemory() < MAX_HELD_BYTES ? 'on' : 'paused';
    if (next === reading) return;
    reading = next;
    if (next === 'on') socket.resume();
    else socket.pause();
  };

  const updateUnparsed = (): 'reserved' | 'full' =>
    table.reserveUnparsed(entry, estimateHead(partialBytes, partialLines) + held.getMemory());

  const updateRoom = (): void => {
    table.recordPlace(entry, findPlace());
    if (updateUnparsed() === 'full') dropHeld();
    updateReading();
  };

  const clearPartial = (): void => {
    partialBytes = 0;
    partialLines = 0;
    finder.clear();
  };

  const finishBody = (): void => {
    if (due === null) startNext();
    else phase = ANSWER;
  };

  const handOnBytes = (bytes: Uint8Array): void => {
    stream.push(bytes);
    const next = getPhase();
    if (next.kind === 'body' && next.incoming.complete) finishBody();
  };

  /** Hands on the end of a head, which the server parses at once. */
  const handOnEnd = ({ receivedAt }: HeldChunk, { end, result }: AskingPhase): void => {
    arrival = { receivedAt, room: result ?? 'refused' };
    clearPartial();
    // The server reports the request while it parses. Without one, it ends the connection.
    phase = ENDED;
    const bytes = held.take(end);
    // A page about the memory of the daemon does not count its own request.
    updateUnparsed();
    handOnBytes(bytes);
    if (getPhase().kind === 'ended') releaseRequest();
  };

  const askForRoom = ({ bytes }: HeldChunk, end: number): void => {
    const lines = partialLines + countLines(bytes.subarray(0, end));
    const memory = REQUEST_OVERHEAD_BYTES + estimateHead(partialBytes + end, lines);
    const asking: AskingPhase = { kind: 'asking', end, result: null, cancel: () => undefined };
    phase = asking;
    let settled: 'at-once' | 'later' = 'at-once';
    asking.cancel = room.ask(memory, (result) => {
      asking.result = result;
      if (result === 'reserved') reservedBytes = memory;
      if (settled === 'later') handOn();
    });
    settled = 'later';
  };

  const handOnHead = (chunk: HeldChunk): void => {
    const { bytes } = chunk;
    const lineEnds = partialBytes === 0 ? countLineEnds(bytes) : 0;
    if (lineEnds > 0) {
      handOnBytes(held.take(lineEnds));
      return;
    }
    const end = finder.find(bytes);
    if (end === -1) {
      partialBytes += bytes.length;
      partialLines += countLines(bytes);
      finder.append(bytes);
      handOnBytes(held.take(bytes.length));
    } else {
      askForRoom(chunk, end);
    }
  };

  const handOnBody = ({ bytes }: HeldChunk, body: BodyPhase): void => {
    const { bodyBytes, parts, takenBytes } = takeBody(body.framing, bytes);
    if (takenBytes === 0) {
      // The parser expects more than the head states, so the two disagree on where the request ends.
      endPhase();
      stream.destroy();
      return;
    }
    body.bytes += bodyBytes;
    if (due === null && body.bytes > options.getMaxBodyBytes()) {
      close('endless-body');
      return;
    }
    table.recordProgress(entry, bodyBytes);
    held.take(takenBytes);
    for (const part of parts) {
      // The parser may have ended the connection with the part before.
      if (getPhase() !== body || stream.destroyed) return;
      handOnBytes(part);
    }
  };

  /** Hands on the next bytes, if the server takes any now. */
  const handOnNext = (): 'handed-on' | 'none' => {
    const chunk = held.getFirst();
    if (chunk === undefined || stream.destroyed || stream.readableFlowing !== true) return 'none';
    if (stream.writableEnded) {
      endPhase();
      return 'none';
    }
    switch (phase.kind) {
      case 'head':
        handOnHead(chunk);
        return 'handed-on';
      case 'asking':
        if (phase.result === null) return 'none';
        handOnEnd(chunk, phase);
        return 'handed-on';
      case 'body':
        handOnBody(chunk, phase);
        return 'handed-on';
      case 'answer':
      case 'between':
      case 'ended':
        return 'none';
      default:
        return assertNever(phase);
    }
  };

  /** Hands on a head in one step once it has memory, or a part of a body. */
  const runStep = (): void => {
    turn = 'none';
    let result = handOnNext();
    while (result === 'handed-on' && phase.kind === 'asking') result = handOnNext();
    if (result === 'handed-on') handOn();
    else updateRoom();
  };

  const handOn = (): void => {
    turn = 'waiting';
    turns.run(runStep);
    if (turn === 'waiting') updateRoom();
  };

  const startNext = (): void => {
    if (order === 'last') {
      endPhase();
      stream.destroySoon();
      return;
    }
    if (held.countBytes() === 0) {
      phase = HEAD;
      return;
    }
    phase = BETWEEN;
    runAfterReads(() => {
      if (phase.kind !== 'between') return;
      phase = HEAD;
      handOn();
    });
  };

  const finishAnswer = (): void => {
    due = null;
    answered = 'some';
    releaseRequest();
    if (phase.kind === 'answer') startNext();
    updateRoom();
  };

  socket.on('data', (bytes: Buffer) => {
    if (phase.kind === 'ended' || order === 'last' || stream.writableEnded) return;
    held.append(bytes, clock.now());
    handOn();
  });
  socket.on('end', () => {
    endPhase();
    if (stream.readableFlowing === true) stream.push(null);
    else stream.destroy();
    updateRoom();
  });
  stream.on('resume', handOn);
  stream.on('close', () => {
    endPhase();
    releaseRequest();
    table.remove(entry);
  });

  return {
    stream,
    beginRequest: (incoming, response) => {
      due = response;
      phase = { kind: 'body', incoming, framing: findFraming(incoming), bytes: 0 };
      if (order === 'last') response.shouldKeepAlive = false;
      response.once('close', finishAnswer);
    },
    getArrival: () => arrival,
  };
};
