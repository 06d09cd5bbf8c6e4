import { CONTROL_FORMAT } from './constants.js';
import { foldControlRecord, formatEntityKey } from './fold.js';
import type { Proposal } from './records.js';
import type { ConfigurationState, EntityRecord, Winner } from './types.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';

/** Outcome of a proposal if it were the next record. */
export type ProposalCheck =
  | { readonly kind: 'acceptable'; readonly change: ProposedChange }
  | { readonly kind: 'lost'; readonly winner: Winner }
  | { readonly kind: 'refused'; readonly failure: Failure };

/** Change that a proposal makes, shown by a dry run. */
export interface ProposedChange {
  readonly kind: Proposal['kind'];
  readonly entity: string;
  readonly before: unknown;
  readonly after: unknown;
}

/**
 * Builds the record of a proposal.
 *
 * @param proposal - parsed proposal
 * @param author - name of the operator
 * @param nonce - identifier of the record
 * @returns the record to append
 */
export const toEntityRecord = (
  proposal: Proposal,
  author: string,
  nonce: string,
): EntityRecord => ({ ...proposal, format: CONTROL_FORMAT, author, nonce });

/**
 * Checks a proposal against the configuration in force before it is appended. Of concurrent
 * proposals that pass this check, the log order decides which one takes effect.
 *
 * @param state - configuration
 * @param proposal - parsed proposal
 * @returns the change that it would make, the record that would make it void, or the reason for
 *   which it is refused
 */
export const checkProposal = (state: ConfigurationState, proposal: Proposal): ProposalCheck => {
  if (proposal.kind === 'move' && proposal.entity !== proposal.body.name) {
    const message = 'record: field "entity": it must be the name of the move';
    return { kind: 'refused', failure: createFailure('not-run', 'bad-request', message) };
  }
  const raw = { offset: state.nextOffset, at: 0, body: null };
  const { result } = foldControlRecord(state, raw, toEntityRecord(proposal, 'operator', 'check'));
  if (result.kind === 'void') {
    if (result.winner !== null) return { kind: 'lost', winner: result.winner };
    const message =
      proposal.kind === 'move-ended'
        ? `no move is named ${proposal.entity}`
        : `record: field "basedOn": nothing is in force under ${proposal.entity}`;
    return { kind: 'refused', failure: createFailure('not-run', 'bad-request', message) };
  }
  const before = state.entities.get(formatEntityKey(proposal.kind, proposal.entity));
  return {
    kind: 'acceptable',
    change: {
      kind: proposal.kind,
      entity: proposal.entity,
      before: before?.body ?? null,
      after: proposal.body,
    },
  };
};
