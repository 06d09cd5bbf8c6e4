import { MAX_MESSAGE_BYTES, MESSAGE_OVERHEAD_BYTES } from './constants.js';
import { createFailure } from '../core/verdict.js';
import type { Failure, Verdict } from '../core/verdict.js';

const MAX_BODY_BYTES = MAX_MESSAGE_BYTES - MESSAGE_OVERHEAD_BYTES;

/**
 * Checks that a body fits into one message between the daemons, before it is sent. The receiver
 * would refuse a larger message only after it was sent, and the sender could then not determine the
 * verdict.
 *
 * @param body - body of a request or a response
 * @param bodyName - name of the body in the failure message
 * @param verdict - what is known about the request's execution
 * @returns a `too-large` failure, or null when the body fits
 */
export const checkBodySize = (
  body: Uint8Array,
  bodyName: string,
  verdict: Verdict,
): Failure | null => {
  const { byteLength } = body;
  if (byteLength <= MAX_BODY_BYTES) return null;
  const message = `${bodyName}: ${byteLength.toString()} bytes do not fit into a message; the limit is ${MAX_BODY_BYTES.toString()}`;
  return createFailure(verdict, 'too-large', message);
};
