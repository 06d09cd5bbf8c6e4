import { MAX_EARLY_ABANDONED } from './constants.js';
import type {
  AbandonedRecord,
  CarryForwardRecord,
  ChainLink,
  ChainRecord,
  ChainState,
  FoldResult,
  IntentRecord,
  Nonce,
  OutcomeRecord,
} from './types.js';
import { assertNever } from '../../core/assertNever.js';

export interface ChainFold {
  readonly state: ChainState;
  readonly result: FoldResult;
}

/** Shared by all chains, because almost no key has abandoned nonces. */
const NO_NONCES: readonly Nonce[] = [];

/**
 * Creates the empty chain of a key, which has no active intent.
 *
 * @param record - any record of the key
 * @returns the empty chain
 */
export const createChainState = (record: ChainRecord): ChainState => ({
  customer: record.customer,
  key: record.key,
  issuedAt: record.issuedAt,
  fingerprint: null,
  link: null,
  abandonedEarly: NO_NONCES,
});

/**
 * Restores a chain from a carry-forward record.
 *
 * @param record - carry-forward record
 * @returns the chain as of the record's `asOf` offset
 */
export const toChainState = (record: CarryForwardRecord): ChainState => ({
  customer: record.customer,
  key: record.key,
  issuedAt: record.issuedAt,
  fingerprint: record.fingerprint,
  link: record.link,
  abandonedEarly: record.abandonedEarly,
});

const toLink = (record: IntentRecord, standing: ChainLink['standing']): ChainLink => ({
  nonce: record.nonce,
  previous: record.previous,
  endpoint: record.endpoint,
  incarnation: record.incarnation,
  entry: record.entry,
  at: record.at,
  standing,
});

const isSuccessor = (state: ChainState, record: IntentRecord): boolean => {
  if (state.link === null) return record.previous === null;
  if (state.link.standing.kind === 'closed') return false;
  // A key stays bound to the content of its first active intent.
  if (state.fingerprint !== record.fingerprint) return false;
  return state.link.nonce === record.previous;
};

const foldIntent = (state: ChainState, record: IntentRecord): ChainFold => {
  if (!isSuccessor(state, record)) {
    // A caller that changes the time of issue of a key must not make its chain expire earlier.
    const extended =
      state.issuedAt !== null && record.issuedAt !== null && record.issuedAt > state.issuedAt;
    return {
      state: extended ? { ...state, issuedAt: record.issuedAt } : state,
      result: 'void',
    };
  }
  // An intent that was abandoned early still becomes active, so that daemons that never read its
  // abandoned record build the same order of intents.
  const early = state.abandonedEarly.includes(record.nonce);
  return {
    state: {
      ...state,
      fingerprint: record.fingerprint,
      link: toLink(record, { kind: early ? 'abandoned' : 'open' }),
      abandonedEarly: early
        ? state.abandonedEarly.filter((nonce) => nonce !== record.nonce)
        : state.abandonedEarly,
    },
    result: 'active',
  };
};

const foldOutcome = (state: ChainState, record: OutcomeRecord): ChainFold => {
  const { link } = state;
  if (link?.nonce !== record.nonce || link.standing.kind === 'abandoned') {
    return { state, result: 'ignored' };
  }
  const { verdict, status, bodyDigest } = record;
  const known = link.standing.kind === 'closed' ? link.standing.verdict : null;
  if (known === 'ran' || known === verdict) return { state, result: 'ignored' };
  const standing = { kind: 'closed', verdict, status, bodyDigest } as const;
  return { state: { ...state, link: { ...link, standing } }, result: 'closed' };
};

const foldAbandoned = (state: ChainState, record: AbandonedRecord): ChainFold => {
  const { link } = state;
  if (link?.nonce === record.nonce) {
    if (link.standing.kind !== 'open') return { state, result: 'ignored' };
    const standing = { kind: 'abandoned' } as const;
    return { state: { ...state, link: { ...link, standing } }, result: 'abandoned' };
  }
  if (state.abandonedEarly.includes(record.nonce)) return { state, result: 'ignored' };
  const abandonedEarly = [...state.abandonedEarly, record.nonce].slice(-MAX_EARLY_ABANDONED);
  return { state: { ...state, abandonedEarly }, result: 'ignored' };
};

/**
 * Applies the fold rule to one chain. An intent becomes active when its `previous` is the nonce of
 * the active intent (null for an empty chain), its fingerprint is the one that the key is bound to,
 * if any, and no outcome is recorded. Every other intent is void.
 *
 * @param state - chain before the record
 * @param record - next record of the key in log order
 * @returns the chain after the record, and the effect of the record
 */
export const foldChain = (state: ChainState, record: ChainRecord): ChainFold => {
  switch (record.kind) {
    case 'intent':
      return foldIntent(state, record);
    case 'outcome':
      return foldOutcome(state, record);
    case 'abandoned':
      return foldAbandoned(state, record);
    default:
      return assertNever(record);
  }
};
