import { measureDuration } from '../sampling/duration.js';
import { measureMemory } from '../sampling/memory.js';
import type { Experiment } from '../types.js';
import { createId } from '../../core/ids.js';
import { planCarryForward } from '../../decisions/idempotency/carryForward.js';
import { DEFAULT_KEY_SETTINGS } from '../../decisions/idempotency/constants.js';
import { parseIntentRecord } from '../../decisions/idempotency/records.js';
import { createIntentTable, foldIntentBatch } from '../../decisions/idempotency/table.js';
import type { IntentTable } from '../../decisions/idempotency/table.js';
import type { ChainRecord } from '../../decisions/idempotency/types.js';

const NOW = 1_800_000_000_000;
const RECORDS_PER_CHAIN = 2;
const CARRY_AFTER_MS = 3_600_000;
/** Placeholder as long as a SHA-256 hash in base64url. */
const DIGEST = 'h'.repeat(43);

/** Builds the records of a key whose request runs once without failure: intent and outcome. */
const buildChain = (index: number): readonly ChainRecord[] => {
  const keyFields = {
    format: 1,
    customer: `customer-${(index % 28_000).toString().padStart(5, '0')}`,
    key: createId(),
    issuedAt: NOW - 1_000,
    at: NOW,
  } as const;
  const nonce = createId();
  return [
    {
      kind: 'intent',
      ...keyFields,
      fingerprint: DIGEST,
      nonce,
      previous: null,
      endpoint: `worker-${(index % 12_000).toString().padStart(5, '0')}`,
      incarnation: createId(),
      entry: `entry-${(index % 800).toString().padStart(3, '0')}`,
    },
    { kind: 'outcome', ...keyFields, nonce, verdict: 'ran', status: 200, bodyDigest: DIGEST },
  ];
};

/**
 * Builds the records of keys whose requests run once without failure.
 *
 * @param chains - number of keys
 * @returns records as JSON, two for each key
 */
export const buildIntentLines = (chains: number): readonly string[] =>
  Array.from({ length: chains }, (_, index) => buildChain(index))
    .flat()
    .map((record) => JSON.stringify(record));

/** Parses and folds a whole stream, as the child `intents` does with the pages of the log. */
const foldStream = (lines: readonly string[]): IntentTable => {
  const table = createIntentTable(DEFAULT_KEY_SETTINGS);
  foldIntentBatch(table, { firstOffset: 0, nextOffset: 0, records: [], end: 'reached' }, NOW);
  const records = lines.map((line, offset) => {
    const parsed = parseIntentRecord(JSON.parse(line));
    if (parsed.isErr()) throw new Error(parsed.error.message);
    return { offset, record: parsed.value };
  });
  const nextOffset = records.length;
  foldIntentBatch(table, { firstOffset: 0, nextOffset, records, end: 'reached' }, NOW);
  return table;
};

const measureChains = (chains: number) => {
  const lines = buildIntentLines(chains);
  const { bytes, state } = measureMemory(() => foldStream(lines));
  const carried = planCarryForward(state, {
    firstOffset: 0,
    now: NOW + CARRY_AFTER_MS,
    carryAfterMs: CARRY_AFTER_MS,
    maxRecords: chains,
  });
  if (lines.length !== RECORDS_PER_CHAIN * carried.length) throw new Error('a chain is missing');
  return {
    'intents.state': bytes,
    'intents.records': lines.reduce((sum, line) => sum + Buffer.byteLength(line), 0),
    'intents.carried': Buffer.byteLength(JSON.stringify(carried)),
    'intents.fold-time': measureDuration(() => {
      foldStream(lines);
    }),
  };
};

/** Intent chains of non-repeatable requests. */
export const INTENT_EXPERIMENTS: readonly Experiment[] = [
  { name: 'intent chains', sizes: [1_000, 5_000, 20_000], measure: measureChains },
];
