import { create } from '@bufbuild/protobuf';
import type { CallFailure } from './gen/chestnutspan/v1/chestnutspan_pb.js';
import { CallFailureSchema } from './gen/chestnutspan/v1/chestnutspan_pb.js';
import { createFailure, FAILURE_CODES } from '../core/verdict.js';
import type { Failure, Verdict } from '../core/verdict.js';

const VERDICTS: readonly Verdict[] = ['not-run', 'may-have-run', 'ran'];

/**
 * Encodes a failure as a message to another process.
 *
 * @param failure - failure to send
 * @returns the message
 */
export const encodeCallFailure = (failure: Failure): CallFailure =>
  create(CallFailureSchema, {
    verdict: failure.verdict,
    code: failure.code,
    message: failure.message,
    retryAfterMs: failure.retryAfterMs ?? 0,
  });

/**
 * Decodes a failure from another process. An unknown code is read as `internal` and an unknown
 * verdict as `may-have-run`, because retrying a request that ran would be unsafe.
 *
 * @param message - received message
 * @returns the failure
 */
export const decodeCallFailure = (message: CallFailure): Failure => {
  const verdict = VERDICTS.find((known) => known === message.verdict) ?? 'may-have-run';
  const code = FAILURE_CODES.find((known) => known === message.code) ?? 'internal';
  return createFailure(
    verdict,
    code,
    message.message,
    message.retryAfterMs > 0 ? message.retryAfterMs : undefined,
  );
};
