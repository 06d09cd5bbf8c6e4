import { FENCE_HEADROOM_FACTOR } from './constants.js';
import { readIdTime } from './keys.js';
import type {
  FenceResult,
  Nonce,
  NonceDecision,
  NonceEntry,
  NonceEvent,
  NonceSettings,
  StoredAnswer,
} from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import type { Incarnation } from '../../core/ids.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';

interface RetainedAnswer {
  readonly answer: StoredAnswer;
  readonly expiresAt: Millis;
}

/**
 * Nonces that one incarnation of an endpoint daemon was requested to start or fence. The maps hold
 * many thousand entries, so `decideNonce` updates them in place.
 */
export interface NonceTable {
  readonly incarnation: Incarnation;
  readonly settings: NonceSettings;
  readonly entries: Map<Nonce, NonceEntry>;
  /** Retained answers in the order in which their nonces finished. */
  readonly answers: Map<Nonce, RetainedAnswer>;
  answerBytes: number;
}

/**
 * Creates the empty table of a new incarnation.
 *
 * @param incarnation - incarnation of the endpoint daemon
 * @param settings - window and bounds
 * @returns the empty table
 */
export const createNonceTable = (
  incarnation: Incarnation,
  settings: NonceSettings,
): NonceTable => ({
  incarnation,
  settings,
  entries: new Map(),
  answers: new Map(),
  answerBytes: 0,
});

const refuse = (failure: Failure): NonceDecision => ({ kind: 'refuse', failure });

const reply = (result: FenceResult): NonceDecision => ({ kind: 'fence', result });

const isTooOld = (createdAt: Millis, now: Millis, settings: NonceSettings): boolean =>
  createdAt + settings.windowMs <= now;

const refuseKnown = (entry: NonceEntry): NonceDecision => {
  switch (entry.kind) {
    case 'fenced':
      return refuse(createFailure('not-run', 'fenced', 'the nonce was fenced'));
    case 'started':
    case 'finished':
      return refuse(createFailure('may-have-run', 'key-in-flight', 'the nonce was started before'));
    default:
      return assertNever(entry);
  }
};

const startNonce = (
  table: NonceTable,
  event: Extract<NonceEvent, { kind: 'start' }>,
): NonceDecision => {
  const createdAt = readIdTime(event.nonce);
  if (createdAt === null) {
    return refuse(createFailure('not-run', 'bad-request', 'the nonce is not a UUIDv7'));
  }
  if (event.incarnation !== table.incarnation) {
    return refuse(
      createFailure('not-run', 'stale-incarnation', 'the endpoint daemon has restarted'),
    );
  }
  const known = table.entries.get(event.nonce);
  if (known !== undefined) return refuseKnown(known);
  // Entries are dropped only from this age on, so a nonce cannot start after its fence was dropped.
  if (isTooOld(createdAt, event.now, table.settings)) {
    return refuse(createFailure('not-run', 'key-expired', 'the nonce is older than the window'));
  }
  if (table.entries.size >= table.settings.maxEntries) {
    return refuse(createFailure('not-run', 'overloaded', 'the table of nonces is full'));
  }
  table.entries.set(event.nonce, { kind: 'started', createdAt });
  return { kind: 'run' };
};

const describeEntry = (table: NonceTable, nonce: Nonce, entry: NonceEntry): FenceResult => {
  switch (entry.kind) {
    case 'fenced':
    case 'started':
      return { kind: entry.kind };
    case 'finished':
      return {
        kind: 'finished',
        answer: table.answers.get(nonce)?.answer ?? null,
        status: entry.status,
        bodyDigest: entry.bodyDigest,
      };
    default:
      return assertNever(entry);
  }
};

const fenceNonce = (
  table: NonceTable,
  event: Extract<NonceEvent, { kind: 'fence' }>,
): NonceDecision => {
  const createdAt = readIdTime(event.nonce);
  if (createdAt === null || event.incarnation !== table.incarnation) {
    return reply({ kind: 'unknown-incarnation' });
  }
  const known = table.entries.get(event.nonce);
  if (known !== undefined) return reply(describeEntry(table, event.nonce, known));
  // The nonce may have run and its entry may have been dropped, so its fence cannot be guaranteed.
  if (isTooOld(createdAt, event.now, table.settings)) {
    return reply({ kind: 'unknown-incarnation' });
  }
  if (table.entries.size >= table.settings.maxEntries * FENCE_HEADROOM_FACTOR) {
    return refuse(createFailure('may-have-run', 'overloaded', 'the table of nonces is full'));
  }
  table.entries.set(event.nonce, { kind: 'fenced', createdAt });
  return reply({ kind: 'fenced' });
};

const removeAnswer = (table: NonceTable, nonce: Nonce): void => {
  const retained = table.answers.get(nonce);
  if (retained === undefined) return;
  table.answers.delete(nonce);
  table.answerBytes -= retained.answer.body.byteLength;
};

const finishNonce = (
  table: NonceTable,
  event: Extract<NonceEvent, { kind: 'finish' }>,
): NonceDecision => {
  const { nonce, answer, now } = event;
  const entry = table.entries.get(nonce);
  if (entry?.kind !== 'started') return { kind: 'no-reply' };
  const { status, bodyDigest } = answer;
  table.entries.set(nonce, { kind: 'finished', createdAt: entry.createdAt, status, bodyDigest });
  table.answers.set(nonce, { answer, expiresAt: now + table.settings.answerRetentionMs });
  table.answerBytes += answer.body.byteLength;
  for (const oldest of table.answers.keys()) {
    if (table.answerBytes <= table.settings.maxAnswerBytes) break;
    removeAnswer(table, oldest);
  }
  return { kind: 'no-reply' };
};

const finishWithoutAnswer = (
  table: NonceTable,
  event: Extract<NonceEvent, { kind: 'finish-without-answer' }>,
): NonceDecision => {
  const { nonce, status, bodyDigest } = event;
  const entry = table.entries.get(nonce);
  if (entry?.kind !== 'started') return { kind: 'no-reply' };
  table.entries.set(nonce, { kind: 'finished', createdAt: entry.createdAt, status, bodyDigest });
  return { kind: 'no-reply' };
};

const releaseNonce = (table: NonceTable, nonce: Nonce): NonceDecision => {
  const entry = table.entries.get(nonce);
  if (entry?.kind === 'started') {
    table.entries.set(nonce, { kind: 'fenced', createdAt: entry.createdAt });
  }
  return { kind: 'no-reply' };
};

const expireNonces = (table: NonceTable, now: Millis): NonceDecision => {
  for (const [nonce, retained] of table.answers) {
    if (retained.expiresAt <= now) removeAnswer(table, nonce);
  }
  for (const [nonce, entry] of table.entries) {
    if (!isTooOld(entry.createdAt, now, table.settings)) continue;
    removeAnswer(table, nonce);
    table.entries.delete(nonce);
  }
  return { kind: 'no-reply' };
};

/**
 * Decides an event of a nonce at its endpoint daemon. A nonce is started at most once per
 * incarnation, and never after it was fenced. `now` must not decrease, because the age of a nonce
 * determines both whether it may start and whether its entry may be dropped.
 *
 * @param table - nonce table of the incarnation, updated in place
 * @param event - request to start or fence, the end of a call, or an expiry tick
 * @returns `run` when the call may start, `refuse`, the reply to a fence request, or `no-reply` for
 *   events without a reply
 */
export const decideNonce = (table: NonceTable, event: NonceEvent): NonceDecision => {
  switch (event.kind) {
    case 'start':
      return startNonce(table, event);
    case 'fence':
      return fenceNonce(table, event);
    case 'finish':
      return finishNonce(table, event);
    case 'finish-without-answer':
      return finishWithoutAnswer(table, event);
    case 'release':
      return releaseNonce(table, event.nonce);
    case 'expire':
      return expireNonces(table, event.now);
    default:
      return assertNever(event);
  }
};
