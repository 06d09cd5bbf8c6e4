import { MAX_RETAINED_ANSWER_BYTES } from './constants.js';
import type { AnswerRecord, Generation } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';
import { decideNonce } from '../../decisions/idempotency/nonces.js';
import type { NonceTable } from '../../decisions/idempotency/nonces.js';
import type { BufferEnd } from '../../decisions/streams/bufferTypes.js';
import { encodeStoredGeneration } from '../../wire/storedGeneration.js';
import type { StoredGeneration } from '../../wire/storedGeneration.js';
import type { GenerateCall } from '../types.js';

/** Dependencies of the functions that record answers under their nonce. */
export interface AnswerRecordInputs {
  readonly now: () => Millis;
  /** Table shared with the calls to plain services, so that both are fenced in the same way. */
  readonly nonces: NonceTable;
  readonly hashBody: (body: Uint8Array) => string;
}

const STATUS_OK = 200;
const STATUS_FAILED = 502;

/**
 * Registers the start of a generation that must run at most once.
 *
 * @param call - request to start the generation
 * @param inputs - clock and nonces
 * @returns null when the generation may start, otherwise the failure
 */
export const startNonce = (call: GenerateCall, inputs: AnswerRecordInputs): Failure | null => {
  const { nonce, incarnation } = call;
  if (nonce === null) return null;
  const event = { kind: 'start', nonce, incarnation, now: inputs.now() } as const;
  const decision = decideNonce(inputs.nonces, event);
  switch (decision.kind) {
    case 'run':
      return null;
    case 'refuse':
      return decision.failure;
    case 'fence':
    case 'no-reply':
      return createFailure('may-have-run', 'internal', 'unexpected decision of the nonce table');
    default:
      return assertNever(decision);
  }
};

/**
 * Creates the empty record of an answer.
 *
 * @param call - request that starts the generation
 * @returns the record; null when the generation may run more than once
 */
export const createAnswerRecord = (call: GenerateCall): AnswerRecord | null =>
  call.nonce === null ? null : { digest: '', bytes: 0, choices: [] };

/**
 * Adds chunks to a record.
 *
 * @param record - record, updated in place
 * @param choices - `choices` list of each chunk as JSON, in order
 * @param inputs - hash function
 */
export const addToAnswerRecord = (
  record: AnswerRecord,
  choices: readonly string[],
  { hashBody }: AnswerRecordInputs,
): void => {
  for (const choice of choices) {
    record.digest = hashBody(Buffer.from(record.digest + choice));
    record.bytes += Buffer.byteLength(choice);
    record.choices?.push(choice);
  }
  if (record.bytes > MAX_RETAINED_ANSWER_BYTES) record.choices = null;
};

const toStoredGeneration = (record: AnswerRecord, end: BufferEnd): StoredGeneration | null => {
  switch (end.kind) {
    case 'finished':
      return record.choices === null
        ? null
        : { kind: 'finished', choices: record.choices, usage: end.usage };
    case 'failed':
      return { kind: 'failed', failure: end.failure };
    default:
      return assertNever(end);
  }
};

/**
 * Stores the result of a generation for later requests with the same key. If the engine certainly
 * did not run the generation, its nonce is fenced instead.
 *
 * @param generation - generation, with its record if it has one
 * @param end - how the generation ended
 * @param inputs - clock and nonces
 */
export const finishNonce = (
  { call, record }: Generation,
  end: BufferEnd,
  inputs: AnswerRecordInputs,
): void => {
  const { nonce } = call;
  if (nonce === null || record === null) return;
  if (end.kind === 'failed' && end.failure.verdict === 'not-run') {
    decideNonce(inputs.nonces, { kind: 'release', nonce });
    return;
  }
  const status = end.kind === 'finished' ? STATUS_OK : STATUS_FAILED;
  const bodyDigest = record.digest;
  const stored = toStoredGeneration(record, end);
  if (stored === null) {
    decideNonce(inputs.nonces, { kind: 'finish-without-answer', nonce, status, bodyDigest });
    return;
  }
  const answer = { status, headers: [], body: encodeStoredGeneration(stored), bodyDigest };
  decideNonce(inputs.nonces, { kind: 'finish', nonce, answer, now: inputs.now() });
};
