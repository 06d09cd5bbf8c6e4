import type { ProcessLog } from './types.js';
import type { LoggedEvent } from '../core/events/types.js';

/** One incarnation of a process; its events follow each other in its own sequence. */
export interface Source {
  readonly process: string;
  readonly incarnation: string;
  readonly events: readonly LoggedEvent[];
}

/** Events of all sources in one list; an index into it names an event. */
export interface EventTable {
  readonly sources: readonly Source[];
  readonly events: readonly LoggedEvent[];
  /** Index of the source of each event. */
  readonly sourceOf: readonly number[];
}

const compareStrings = (left: string, right: string): number =>
  left < right ? -1 : left > right ? 1 : 0;

const mergeSequences = (lists: readonly (readonly LoggedEvent[])[]): readonly LoggedEvent[] => {
  const bySequence = new Map(lists.flat().map((event) => [event.sequence, event]));
  return [...bySequence.values()].sort((left, right) => left.sequence - right.sequence);
};

/**
 * Collects the logs into one source for each incarnation of a process. Logs that overlap, as two
 * reads of one daemon do, are joined by sequence number.
 *
 * @param logs - logs in any order
 * @returns the events in the order of process, incarnation and sequence
 */
export const collectSources = (logs: readonly ProcessLog[]): EventTable => {
  const groups = new Map<string, ProcessLog[]>();
  for (const log of logs) {
    const key = JSON.stringify([log.process, log.incarnation]);
    groups.set(key, [...(groups.get(key) ?? []), log]);
  }
  const sources = [...groups.values()]
    .map((group) => ({
      process: group[0]?.process ?? '',
      incarnation: group[0]?.incarnation ?? '',
      events: mergeSequences(group.map((log) => log.events)),
    }))
    .sort(
      (left, right) =>
        compareStrings(left.process, right.process) ||
        compareStrings(left.incarnation, right.incarnation),
    );
  return {
    sources,
    events: sources.flatMap((source) => source.events),
    sourceOf: sources.flatMap((source, index) => source.events.map(() => index)),
  };
};
