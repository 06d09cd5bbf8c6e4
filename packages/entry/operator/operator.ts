import { OPERATION_TIMEOUT_MS } from './constants.js';
import { assertNever } from '../../core/assertNever.js';
import { toStep } from '../../core/step.js';
import type { Step } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';
import { checkProposal, toEntityRecord } from '../../decisions/configuration/proposals.js';
import { parseProposal } from '../../decisions/configuration/records.js';
import type { Proposal } from '../../decisions/configuration/records.js';
import type {
  ConfigurationState,
  FoldResult,
  Winner,
} from '../../decisions/configuration/types.js';
import type { AppendResult } from '../../decisions/idempotency/types.js';
import type { EntryEffect, OperatorEvent, OperatorOutcome } from '../events.js';

/** Appended record whose outcome is not known yet. */
export interface PendingRecord {
  readonly kind: string;
  readonly entity: string;
  readonly author: string;
}

/** Records of operators that have not been read back from the log, by operation id. */
export interface OperatorState {
  readonly pending: ReadonlyMap<string, PendingRecord>;
}

/** Dependencies of the decisions on operators' records. */
export interface OperatorInputs {
  readonly getConfiguration: () => ConfigurationState;
}

type OperatorStep = Step<OperatorState, EntryEffect>;

const buildReply = (operationId: string, outcome: OperatorOutcome): EntryEffect => ({
  kind: 'reply-operator',
  operationId,
  outcome,
});

const logRefusal = (author: string, reason: string): EntryEffect => ({
  kind: 'log',
  name: 'operator-record-refused',
  details: { data: { author, reason } },
});

const refuse = (
  state: OperatorState,
  operationId: string,
  author: string,
  failure: Failure,
): OperatorStep =>
  toStep(
    state,
    buildReply(operationId, { kind: 'failed', failure }),
    logRefusal(author, failure.message),
  );

const buildLostReply = (
  operationId: string,
  author: string,
  winner: Winner,
): readonly EntryEffect[] => [
  buildReply(operationId, { kind: 'lost', winner }),
  logRefusal(
    author,
    `lost the race against offset ${winner.offset.toString()} by ${winner.author}`,
  ),
];

const appendProposal = (
  state: OperatorState,
  operationId: string,
  author: string,
  proposal: Proposal,
): OperatorStep => {
  const { kind, entity } = proposal;
  const pending = new Map(state.pending).set(operationId, { kind, entity, author });
  return toStep<OperatorState, EntryEffect>(
    { pending },
    {
      kind: 'post',
      event: {
        to: 'appends',
        kind: 'append-requested',
        stream: 'control',
        record: toEntityRecord(proposal, author, operationId),
        owner: { kind: 'operator', operationId },
      },
    },
    {
      kind: 'schedule',
      delayMs: OPERATION_TIMEOUT_MS,
      event: { to: 'operator', kind: 'operation-expired', operationId },
    },
  );
};

const handleProposal = (
  state: OperatorState,
  event: Extract<OperatorEvent, { readonly kind: 'record-posted' }>,
  inputs: OperatorInputs,
): OperatorStep => {
  const { operationId, author } = event;
  const parsed = parseProposal(event.body);
  if (parsed.isErr()) return refuse(state, operationId, author, parsed.error);
  const check = checkProposal(inputs.getConfiguration(), parsed.value);
  switch (check.kind) {
    case 'refused':
      return refuse(state, operationId, author, check.failure);
    case 'lost':
      return toStep(state, ...buildLostReply(operationId, author, check.winner));
    case 'acceptable':
      return event.run === 'dry'
        ? toStep(state, buildReply(operationId, { kind: 'dry-run', change: check.change }))
        : appendProposal(state, operationId, author, parsed.value);
    default:
      return assertNever(check);
  }
};

const removePending = (state: OperatorState, operationId: string): OperatorState => {
  const pending = new Map(state.pending);
  pending.delete(operationId);
  return { pending };
};

const handleAppend = (
  state: OperatorState,
  operationId: string,
  result: AppendResult,
): OperatorStep => {
  const known = state.pending.get(operationId);
  if (known === undefined) return toStep(state);
  switch (result.kind) {
    // Whether the record is in force depends on its position in the log, so it is read back first.
    case 'appended':
    case 'unknown':
      return toStep(state, { kind: 'post', event: { to: 'control', kind: 'read-due' } });
    case 'rejected': {
      const failure = createFailure('not-run', 'log-unavailable', result.message);
      return refuse(removePending(state, operationId), operationId, known.author, failure);
    }
    default:
      return assertNever(result);
  }
};

const buildFoldEffects = (
  operationId: string,
  known: PendingRecord,
  result: FoldResult,
): readonly EntryEffect[] => {
  switch (result.kind) {
    case 'in-force': {
      const { offset } = result.entry;
      const { kind, entity, author } = known;
      const ends: readonly EntryEffect[] =
        kind === 'move-ended'
          ? [{ kind: 'post', event: { to: 'moves', kind: 'end-accepted', name: entity } }]
          : [];
      return [
        ...ends,
        buildReply(operationId, { kind: 'in-force', offset }),
        {
          kind: 'log',
          name: 'operator-record-accepted',
          details: { entity, position: { stream: 'control', offset }, data: { kind, author } },
        },
      ];
    }
    case 'void': {
      if (result.winner !== null) return buildLostReply(operationId, known.author, result.winner);
      const message = 'the entity that the record is based on is no longer in force';
      const failure = createFailure('not-run', 'lost-race', message);
      return [buildReply(operationId, { kind: 'failed', failure })];
    }
    case 'snapshot':
    case 'ignored':
      return [];
    default:
      return assertNever(result);
  }
};

const handleFolded = (
  state: OperatorState,
  event: Extract<OperatorEvent, { readonly kind: 'records-folded' }>,
): OperatorStep => {
  let next = state;
  const effects: EntryEffect[] = [];
  for (const { nonce, result } of event.folded) {
    const known = next.pending.get(nonce);
    if (known === undefined) continue;
    effects.push(...buildFoldEffects(nonce, known, result));
    next = removePending(next, nonce);
  }
  return toStep(next, ...effects);
};

const expireOperation = (state: OperatorState, operationId: string): OperatorStep => {
  const known = state.pending.get(operationId);
  if (known === undefined) return toStep(state);
  const message = 'the record was not read back from the log in time; it may still take effect';
  const failure = createFailure('may-have-run', 'log-unavailable', message);
  return refuse(removePending(state, operationId), operationId, known.author, failure);
};

/**
 * Creates the decision logic of the `operator` child. It checks a record, appends it, and replies
 * once the record has been read back from the log.
 *
 * @param inputs - access to the configuration in force
 * @returns the child's logic
 */
export const createOperatorLogic = (
  inputs: OperatorInputs,
): ChildLogic<OperatorState, OperatorEvent, EntryEffect> => ({
  init: () => toStep<OperatorState, EntryEffect>({ pending: new Map() }),
  decide: (state, event) => {
    switch (event.kind) {
      case 'record-posted':
        return handleProposal(state, event, inputs);
      case 'append-ended':
        return handleAppend(state, event.operationId, event.result);
      case 'records-folded':
        return handleFolded(state, event);
      case 'operation-expired':
        return expireOperation(state, event.operationId);
      default:
        return assertNever(event);
    }
  },
});
