import { Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { fetchConfiguration, fetchMoves, publishRecord } from './clients/operatorClient.js';
import type {
  MoveRow,
  OperatorFailure,
  OperatorRecord,
  OperatorTarget,
  PublishMode,
  PublishResult,
} from './clients/operatorClient.js';
import type { CommandOutcome } from './output.js';
import { assertNever } from '../packages/core/assertNever.js';
import type { Millis } from '../packages/core/clock.js';
import { formatTime } from '../packages/timeline/renderText.js';

/** Environment variable that holds the operator's bearer key. */
export const OPERATOR_KEY_VARIABLE = 'CHESTNUTSPAN_OPERATOR_KEY';

/** Parsed flags of every operator command. */
export interface OperatorFlags {
  readonly 'operator-url': string;
}

/** Parsed flags of the commands that publish a record. */
export interface PublishFlags extends OperatorFlags {
  readonly 'dry-run': boolean;
  readonly 'based-on'?: number | undefined;
}

type Change = Omit<OperatorRecord, 'basedOn'>;

const MISSING_KEY: CommandOutcome = {
  kind: 'failed',
  reason: 'usage',
  message: `${OPERATOR_KEY_VARIABLE} must contain the operator key`,
};

const buildTarget = (flags: OperatorFlags): OperatorTarget | undefined => {
  const key = process.env[OPERATOR_KEY_VARIABLE];
  return key === undefined || key === '' ? undefined : { url: flags['operator-url'], key };
};

const describeFailure = (failure: OperatorFailure): CommandOutcome => {
  switch (failure.kind) {
    case 'no-answer': {
      const effect =
        failure.change === 'none'
          ? 'nothing was changed'
          : 'the record may be in force; read the configuration before retrying';
      const message = `${failure.message}; ${effect}`;
      return { kind: 'failed', reason: 'try-again', message };
    }
    case 'lost-race': {
      const { offset, author } = failure.winner;
      const message = `lost the race: ${author} changed it at offset ${offset.toString()}; nothing was changed`;
      const data = { result: 'lost-race', winner: failure.winner };
      return { kind: 'failed', reason: 'try-again', message, data };
    }
    case 'unavailable':
      return { kind: 'failed', reason: 'try-again', message: failure.message };
    case 'unauthorized':
      return { kind: 'failed', reason: 'usage', message: failure.message };
    case 'bad-record':
      return { kind: 'failed', reason: 'bad-settings', message: failure.message };
    case 'fault':
      return { kind: 'failed', reason: 'internal', message: failure.message };
    default:
      return assertNever(failure);
  }
};

const formatChange = (change: unknown): string =>
  typeof change === 'string' ? change : JSON.stringify(change, undefined, 2);

const describePublished = (change: Change, result: PublishResult): CommandOutcome => {
  const { kind, entity } = change;
  switch (result.kind) {
    case 'in-force': {
      const text = `${kind} ${entity} is in force at offset ${result.offset.toString()}`;
      const data = { result: result.kind, offset: result.offset, kind, entity };
      return { kind: 'done', text, data };
    }
    case 'dry-run': {
      const text = `dry run, nothing was changed\n${formatChange(result.change)}`;
      const data = { result: result.kind, change: result.change, kind, entity };
      return { kind: 'done', text, data };
    }
    default:
      return assertNever(result);
  }
};

/** Returns the offset of the record in force for the entity; null for a new entity. */
const fetchCurrentOffset = async (
  target: OperatorTarget,
  change: Change,
): Promise<Result<number | null, OperatorFailure>> => {
  const configuration = await fetchConfiguration(target);
  return configuration.map(({ entities }) => {
    const found = entities.find(
      ({ kind, entity }) => kind === change.kind && entity === change.entity,
    );
    return found?.offset ?? null;
  });
};

/**
 * Publishes a change to one entity.
 *
 * @param flags - address, mode, and the offset on which the change is based; by default the change
 *   is based on the record in force
 * @param change - kind, entity and body
 * @returns the outcome; a lost race names the author and offset of the winning record
 */
export const publishChange = async (
  flags: PublishFlags,
  change: Change,
): Promise<CommandOutcome> => {
  const target = buildTarget(flags);
  if (target === undefined) return MISSING_KEY;
  const explicitOffset = flags['based-on'];
  const basedOn =
    explicitOffset === undefined ? await fetchCurrentOffset(target, change) : Ok(explicitOffset);
  if (basedOn.isErr()) return describeFailure(basedOn.error);
  const mode: PublishMode = flags['dry-run'] ? 'dry-run' : 'publish';
  const result = await publishRecord(target, { ...change, basedOn: basedOn.value }, mode);
  return result.isErr() ? describeFailure(result.error) : describePublished(change, result.value);
};

/**
 * Takes a data centre out of service or returns it to service.
 *
 * @param flags - address and mode
 * @param name - data centre
 * @param state - desired state
 * @returns the outcome
 */
export const publishDataCentre = (
  flags: PublishFlags,
  name: string,
  state: 'out' | 'in',
): Promise<CommandOutcome> =>
  publishChange(flags, { kind: 'data-centre', entity: name, body: { state } });

/** Parsed flags of the command that starts a version move. */
export interface MoveFlags extends PublishFlags {
  readonly model: string;
  readonly from: string;
  readonly to: string;
  readonly deadline?: string | undefined;
  readonly 'finish-in-ms'?: number | undefined;
}

const parseDeadline = (flags: MoveFlags, now: Millis): Millis =>
  flags.deadline === undefined ? now + (flags['finish-in-ms'] ?? 0) : Date.parse(flags.deadline);

/**
 * Starts a version move.
 *
 * @param flags - model, versions and deadline
 * @param name - name of the move
 * @param now - current instant
 * @returns the outcome; a deadline in the past or one that is not a date is a usage error
 */
export const publishMove = async (
  flags: MoveFlags,
  name: string,
  now: Millis,
): Promise<CommandOutcome> => {
  const deadline = parseDeadline(flags, now);
  if (!(deadline > now)) {
    const message = 'the deadline must be an ISO date in the future';
    return { kind: 'failed', reason: 'usage', message };
  }
  const { model, from, to } = flags;
  const body = { name, model, from, to, deadline, startedAt: now };
  return publishChange(flags, { kind: 'move', entity: name, body });
};

const formatMove = (move: MoveRow): string => {
  const share = `${(move.share * 100).toFixed(1)}%`;
  const reason = move.reason === undefined || move.reason === '' ? '' : `: ${move.reason}`;
  return `${move.name} ${move.model} ${move.from} -> ${move.to} ${share} ${move.state}${reason}, deadline ${formatTime(move.deadline)}`;
};

/**
 * Lists the version moves.
 *
 * @param flags - address of the operator interface
 * @returns all moves
 */
export const listMoves = async (flags: OperatorFlags): Promise<CommandOutcome> => {
  const target = buildTarget(flags);
  if (target === undefined) return MISSING_KEY;
  const moves = await fetchMoves(target);
  if (moves.isErr()) return describeFailure(moves.error);
  const text = moves.value.length === 0 ? 'no moves' : moves.value.map(formatMove).join('\n');
  return { kind: 'done', text, data: { moves: moves.value } };
};

/**
 * Finds one version move.
 *
 * @param flags - address of the operator interface
 * @param name - name of the move
 * @returns the move; an unknown name is a usage error
 */
export const findMove = async (flags: OperatorFlags, name: string): Promise<CommandOutcome> => {
  const target = buildTarget(flags);
  if (target === undefined) return MISSING_KEY;
  const moves = await fetchMoves(target);
  if (moves.isErr()) return describeFailure(moves.error);
  const move = moves.value.find((candidate) => candidate.name === name);
  if (move === undefined) {
    return { kind: 'failed', reason: 'usage', message: `there is no move ${name}` };
  }
  return { kind: 'done', text: formatMove(move), data: move };
};
