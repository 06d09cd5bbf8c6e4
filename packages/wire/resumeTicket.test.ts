import test from 'ava';
import { formatEventId, signTicket, verifyEventId } from './resumeTicket.js';
import { createId } from '../core/ids.js';

const KEY = 'k'.repeat(32);
const TICKET = {
  generationId: createId(),
  endpoint: 'engine-1',
  incarnation: createId(),
  customer: 'ledger-clerks',
  expiresAt: 1_800_000_000_000,
};

// Guards against a ticket that loses or swaps a field.
test('a signed ticket decodes to its content', (t) => {
  const id = formatEventId(signTicket(TICKET, KEY), 41);
  t.deepEqual(verifyEventId(id, KEY, 0).unwrap(), { ticket: TICKET, lastNumber: 41 });
});

// Guards against a caller who reads another caller's stream with a forged ticket.
test('a tampered, foreign, expired or malformed ticket is refused', (t) => {
  const signed = signTicket(TICKET, KEY);
  const middle = Math.floor(signed.length / 2);
  const flipped = signed[middle] === 'A' ? 'B' : 'A';
  const changed = signed.slice(0, middle) + flipped + signed.slice(middle + 1);
  t.is(verifyEventId(`${changed}.1`, KEY, 0).unwrapErr(), 'wrong-signature');
  t.is(verifyEventId(`${signed}.1`, 'x'.repeat(32), 0).unwrapErr(), 'wrong-signature');
  t.is(verifyEventId(`${signed}.1`, KEY, TICKET.expiresAt).unwrapErr(), 'expired');
  t.is(verifyEventId('short.1', KEY, 0).unwrapErr(), 'malformed');
  t.is(verifyEventId(`${signed}.x`, KEY, 0).unwrapErr(), 'malformed');
});
