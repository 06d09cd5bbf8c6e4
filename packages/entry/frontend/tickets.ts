import type { Clock, Millis } from '../../core/clock.js';
import type { RequestId } from '../../core/ids.js';
import type { GenerationSource } from '../../decisions/streams/types.js';
import { TICKET_LIFETIME_MS } from '../../wire/constants.js';
import { signTicket } from '../../wire/resumeTicket.js';

/** Signed resume ticket for the generation of a request. */
export interface IssuedTicket {
  readonly generationId: string;
  readonly ticket: string;
  readonly createdAt: Millis;
}

/** Signs one resume ticket per generation and caches it until the request is closed. */
export interface TicketIssuer {
  readonly getTicket: (
    requestId: RequestId,
    customer: string,
    source: GenerationSource,
  ) => IssuedTicket;
  readonly remove: (requestId: RequestId) => void;
}

/**
 * Creates the issuer of resume tickets.
 *
 * @param key - secret shared by all entry daemons
 * @param clock - clock for the times of issue and expiry
 * @returns the issuer
 */
export const createTicketIssuer = (key: string, clock: Clock): TicketIssuer => {
  const issued = new Map<RequestId, IssuedTicket>();
  return {
    getTicket: (requestId, customer, source) => {
      const known = issued.get(requestId);
      if (known?.generationId === source.generationId) return known;
      const createdAt = clock.now();
      const expiresAt = createdAt + TICKET_LIFETIME_MS;
      const ticket = signTicket({ ...source, customer, expiresAt }, key);
      const entry = { generationId: source.generationId, ticket, createdAt };
      issued.set(requestId, entry);
      return entry;
    },
    remove: (requestId) => {
      issued.delete(requestId);
    },
  };
};
