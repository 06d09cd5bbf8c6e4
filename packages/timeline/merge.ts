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
    // An edge that was left out to break a cycle is not shown as a cause.
    if (order >= (positions.get(to) ?? 0)) continue;
    causes.set(to, [...(causes.get(to) ?? []), { order, kind }]);
  }
  return causes;
};

/** Barriers come as early as they can; events by estimated time, then by process and sequence. */
const buildComparator =
  (table: EventTable, estimates: readonly number[]) =>
  (left: number, right: number): number => {
    const leftAt = estimates[left] ?? Number.NEGATIVE_INFINITY;
    const rightAt = estimates[right] ?? Number.NEGATIVE_INFINITY;
    if (leftAt !== rightAt) return leftAt < rightAt ? -1 : 1;
    return left - right;
  };

/**
 * Merges the events of many processes into one causal order. Clocks only decide between events
 * that neither a sequence, a message nor a log offset orders.
 *
 * @param logs - events of the processes, in any order
 * @returns all events; the same logs give the same order
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
 * Selects the events that match all given fields. The order stays that of the whole merge.
 *
 * @param events - merged events
 * @param selection - wanted values; an empty selection matches all
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
