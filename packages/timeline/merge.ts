import { estimateClockOffsets } from './clocks.js';
import { buildPartialOrder } from './edges.js';
import type { Edge } from './edges.js';
import { sortNodes } from './order.js';
import { collectSources } from './sources.js';
import type { EventTable } from './sources.js';
import type { Cause, EventSelection, MergedEvent, ProcessLog } from './types.js';
import type { LoggedEvent } from '../core/events/types.js';

const collectCauses = (
  edges: readonly Edge[],
  positions: ReadonlyMap<number, number>,
): ReadonlyMap<number, readonly Cause[]> => {
  const causes = new Map<number, Cause[]>();
  for (const { from, to, kind } of edges) {
    if (kind !== 'message' && kind !== 'append') continue;
    const order = positions.get(from) ?? 0;
    // An edge that was removed to break a cycle is not reported as a cause.
    if (order >= (positions.get(to) ?? 0)) continue;
    causes.set(to, [...(causes.get(to) ?? []), { order, kind }]);
  }
  return causes;
};

/**
 * Orders barriers first, so that they delay no event, and events by estimated time. Ties are broken
 * by index, that is by process, incarnation and sequence number.
 */
const buildComparator =
  (table: EventTable, estimates: readonly number[]) =>
  (left: number, right: number): number => {
    const leftAt = estimates[left] ?? Number.NEGATIVE_INFINITY;
    const rightAt = estimates[right] ?? Number.NEGATIVE_INFINITY;
    if (leftAt !== rightAt) return leftAt < rightAt ? -1 : 1;
    return left - right;
  };

/**
 * Merges the events of many processes into one causal order. Estimated times only decide between
 * events that are not ordered by a sequence, a message or a log offset.
 *
 * @param logs - events of the processes, in any order
 * @returns all events; the result does not depend on the order of the logs
 */
export const mergeTimelines = (logs: readonly ProcessLog[]): readonly MergedEvent[] => {
  const table = collectSources(logs);
  const offsets = estimateClockOffsets(table);
  const estimates = table.events.map(
    (event, index) => event.at - (offsets[table.sourceOf[index] ?? 0] ?? 0),
  );
  const order = buildPartialOrder(table);
  const nodes = sortNodes(order, buildComparator(table, estimates));
  const sorted = nodes.filter((node) => node < table.events.length);
  const positions = new Map(sorted.map((index, position) => [index, position]));
  const causes = collectCauses(order.edges, positions);
  return sorted.map((index, position) => ({
    order: position,
    event: table.events[index] as LoggedEvent,
    estimatedAt: estimates[index] ?? 0,
    causes: causes.get(index) ?? [],
  }));
};

const hasExpectedValue = (expected: string | undefined, ...values: readonly unknown[]): boolean =>
  expected === undefined || values.includes(expected);

/**
 * Selects the events that match every field of a selection. They keep their merged order numbers.
 *
 * @param events - merged events
 * @param selection - required values; an empty selection matches every event
 * @returns the matching events
 */
export const selectEvents = (
  events: readonly MergedEvent[],
  selection: EventSelection,
): readonly MergedEvent[] =>
  events.filter(
    ({ event }) =>
      hasExpectedValue(selection.requestId, event.requestId) &&
      hasExpectedValue(selection.endpoint, event.endpoint, event.data?.endpoint) &&
      hasExpectedValue(selection.dataCentre, event.dataCentre, event.data?.dataCentre) &&
      hasExpectedValue(selection.entity, event.entity, event.data?.entity),
  );
