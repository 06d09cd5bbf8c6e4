import type { ProcessLog } from './types.js';
import type { LoggedEvent } from '../core/events/types.js';

/** One incarnation of a process, with its events in sequence order. */
export interface Source {
  readonly process: string;
  readonly incarnation: string;
  readonly events: readonly LoggedEvent[];
}

/** Events of all sources in one list; an event is identified by its index in the list. */
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
 * Groups the logs into one source for each incarnation of a process. Overlapping logs, such as two
 * reads from the same daemon, are merged by sequence number.
 *
 * @param logs - logs in any order
 * @returns sources and events, sorted by process, incarnation and sequence number
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
