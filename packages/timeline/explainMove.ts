import { readNumber, readString } from './eventData.js';
import type { MoveExplanation, MoveState, MoveStep } from './explainTypes.js';
import type { MergedEvent } from './types.js';
import type { EventName } from '../core/events/catalogue.js';
import type { LoggedEvent } from '../core/events/types.js';

/** Events of a move and the state of the move after each. */
const MOVE_EVENTS: ReadonlyMap<EventName, MoveState> = new Map([
  ['move-started', 'running'],
  ['move-share-changed', 'running'],
  ['move-stopped-locally', 'running'],
  ['move-needs-operator', 'needs-operator'],
  ['move-done', 'done'],
  ['move-taken-back', 'taken-back'],
]);

const isTerminal = (event: LoggedEvent): boolean =>
  event.name === 'move-done' || event.name === 'move-taken-back';

/** Finds the terminal event with the lowest log offset; events without an offset sort last. */
const findTerminal = (events: readonly LoggedEvent[]): LoggedEvent | undefined => {
  const toOffset = (event: LoggedEvent): number =>
    event.position?.offset ?? Number.POSITIVE_INFINITY;
  return events
    .filter(isTerminal)
    .reduce<LoggedEvent | undefined>(
      (first, event) => (first === undefined || toOffset(event) < toOffset(first) ? event : first),
      undefined,
    );
};

const describeStep = (event: LoggedEvent): MoveStep => {
  const share = readNumber(event, 'share');
  const evidence = readString(event, 'evidence');
  const reason = readString(event, 'reason');
  return {
    process: event.process,
    name: event.name,
    ...(share === undefined ? {} : { share }),
    ...(evidence === undefined ? {} : { evidence }),
    ...(reason === undefined ? {} : { reason }),
    ...(event.position === undefined ? {} : { offset: event.position.offset }),
  };
};

/**
 * Explains one version move: its traffic shares with the evidence for each, and why it ended.
 *
 * @param events - merged events of all processes
 * @param move - name of the move
 * @returns the explanation; its state is `unknown` when no event refers to the move
 */
export const explainMove = (events: readonly MergedEvent[], move: string): MoveExplanation => {
  const moveEvents = events
    .map(({ event }) => event)
    .filter((event) => event.entity === move && MOVE_EVENTS.has(event.name));
  const terminal = findTerminal(moveEvents);
  const last = terminal ?? moveEvents.at(-1);
  const steps = moveEvents.map(describeStep);
  const lastShare = steps.findLast((step) => step.share !== undefined)?.share;
  const endedAt = terminal?.position?.offset;
  return {
    move,
    state: last === undefined ? 'unknown' : (MOVE_EVENTS.get(last.name) ?? 'unknown'),
    ...(endedAt === undefined ? {} : { endedAt }),
    ...(lastShare === undefined ? {} : { lastShare }),
    steps,
  };
};
