import { createHmac, timingSafeEqual } from 'node:crypto';
import { parse, stringify } from 'uuid';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { Millis } from '../core/clock.js';
import type { CustomerId, EndpointId, GenerationId, Incarnation } from '../core/ids.js';

/** Data that an entry daemon needs to resume a stream; callers return it as the SSE event id. */
export interface ResumeTicket {
  readonly generationId: GenerationId;
  readonly endpoint: EndpointId;
  readonly incarnation: Incarnation;
  readonly customer: CustomerId;
  readonly expiresAt: Millis;
}

/** Verified ticket, with the position from which its stream resumes. */
export interface ResumePoint {
  readonly ticket: ResumeTicket;
  /** Number of the last chunk that the caller received. */
  readonly lastNumber: number;
}

export type TicketProblem = 'malformed' | 'wrong-signature' | 'expired';

const UUID_BYTES = 16;
const EXPIRY_BYTES = 6;
const MAC_BYTES = 12;
const NAMES_OFFSET = 2 * UUID_BYTES + EXPIRY_BYTES;

const computeMac = (payload: Buffer, key: string): Buffer =>
  createHmac('sha256', key).update(payload).digest().subarray(0, MAC_BYTES);

/**
 * Signs a resume ticket.
 *
 * With tickets, the entry daemons need no shared table of streams.
 *
 * @param ticket - content of the ticket
 * @param key - secret shared by all entry daemons
 * @returns the signed ticket in base64url, which is valid in an SSE event id
 */
export const signTicket = (ticket: ResumeTicket, key: string): string => {
  const expiry = Buffer.alloc(EXPIRY_BYTES);
  expiry.writeUIntBE(Math.round(ticket.expiresAt), 0, EXPIRY_BYTES);
  const payload = Buffer.concat([
    parse(ticket.generationId),
    parse(ticket.incarnation),
    expiry,
    Buffer.from(`${ticket.endpoint}\0${ticket.customer}`, 'utf8'),
  ]);
  return Buffer.concat([computeMac(payload, key), payload]).toString('base64url');
};

const decodeTicket = (encodedTicket: string, key: string): Result<ResumeTicket, TicketProblem> => {
  const bytes = Buffer.from(encodedTicket, 'base64url');
  if (bytes.length < MAC_BYTES + NAMES_OFFSET + 1) return Err('malformed');
  const payload = bytes.subarray(MAC_BYTES);
  if (!timingSafeEqual(computeMac(payload, key), bytes.subarray(0, MAC_BYTES))) {
    return Err('wrong-signature');
  }
  const [endpoint = '', customer = ''] = payload
    .subarray(NAMES_OFFSET)
    .toString('utf8')
    .split('\0');
  return Ok({
    generationId: stringify(payload.subarray(0, UUID_BYTES)),
    incarnation: stringify(payload.subarray(UUID_BYTES, 2 * UUID_BYTES)),
    endpoint,
    customer,
    expiresAt: payload.readUIntBE(2 * UUID_BYTES, EXPIRY_BYTES),
  });
};

/**
 * Formats the SSE event id of a chunk.
 *
 * @param signedTicket - result of `signTicket`
 * @param number - number of the chunk
 * @returns the event id
 */
export const formatEventId = (signedTicket: string, number: number): string =>
  `${signedTicket}.${number.toString()}`;

/**
 * Decodes and verifies a `Last-Event-ID` header.
 *
 * @param eventId - value of the header
 * @param key - secret shared by all entry daemons
 * @param now - current instant
 * @returns the resume point, or why the id is invalid
 */
export const verifyEventId = (
  eventId: string,
  key: string,
  now: Millis,
): Result<ResumePoint, TicketProblem> => {
  const match = /^([\w-]+)\.(\d{1,9})$/.exec(eventId);
  const [, encodedTicket, number] = match ?? [];
  if (encodedTicket === undefined || number === undefined) return Err('malformed');
  const decoded = decodeTicket(encodedTicket, key);
  if (decoded.isErr()) return decoded;
  if (decoded.value.expiresAt <= now) return Err('expired');
  return Ok({ ticket: decoded.value, lastNumber: Number(number) });
};
