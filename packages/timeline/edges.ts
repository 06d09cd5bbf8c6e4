import type { CauseKind } from './types.js';
import type { EventTable } from './sources.js';
import type { EventName } from '../core/events/catalogue.js';

/**
 * States that one node precedes another. A node is the index of an event; numbers past the last
 * event are barriers between log offsets.
 */
export interface Edge {
  readonly from: number;
  readonly to: number;
  readonly kind: CauseKind;
}

/** Partial order of the events as a directed graph. */
export interface PartialOrder {
  /** Number of nodes: the events and the barriers between log offsets. */
  readonly nodeCount: number;
  readonly edges: readonly Edge[];
}

/** Events that a process logs when the log confirms its own append. */
const APPENDING_EVENTS: ReadonlySet<EventName> = new Set<EventName>([
  'intent-appended',
  'outcome-appended',
  'snapshot-appended',
  'operator-record-accepted',
]);

const collectIndices = <Key>(
  table: EventTable,
  getKey: (index: number) => Key | undefined,
): ReadonlyMap<Key, readonly number[]> => {
  const groups = new Map<Key, number[]>();
  table.events.forEach((_event, index) => {
    const key = getKey(index);
    if (key === undefined) return;
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [index]);
    else group.push(index);
  });
  return groups;
};

const buildSequenceEdges = (table: EventTable): readonly Edge[] =>
  table.events.flatMap((_event, index): readonly Edge[] => {
    const follows = index > 0 && table.sourceOf[index - 1] === table.sourceOf[index];
    return follows ? [{ from: index - 1, to: index, kind: 'sequence' }] : [];
  });

/**
 * Builds an edge from the sending of each message to its receipt.
 *
 * For an id that one process sent several times, the edge starts at the first sending. An id sent
 * by several processes is ambiguous and gets no edge.
 *
 * @param table - events of all processes
 * @returns one edge for each receipt in another process
 */
export const buildMessageEdges = (table: EventTable): readonly Edge[] => {
  const sends = collectIndices(table, (index) => table.events[index]?.sent);
  return table.events.flatMap((event, to): readonly Edge[] => {
    const senders = event.received === undefined ? [] : (sends.get(event.received) ?? []);
    const [from] = senders;
    if (from === undefined || table.sourceOf[from] === table.sourceOf[to]) return [];
    const hasManySenders = senders.some((index) => table.sourceOf[index] !== table.sourceOf[from]);
    return hasManySenders ? [] : [{ from, to, kind: 'message' }];
  });
};

const toPositionKey = (table: EventTable, index: number): string | undefined => {
  const position = table.events[index]?.position;
  return position === undefined ? undefined : JSON.stringify([position.stream, position.offset]);
};

const buildAppendEdges = (table: EventTable): readonly Edge[] => {
  const groups = collectIndices(table, (index) => toPositionKey(table, index));
  return [...groups.values()].flatMap((group) => {
    const from = group.find((index) =>
      APPENDING_EVENTS.has(table.events[index]?.name as EventName),
    );
    if (from === undefined) return [];
    return group
      .filter((to) => table.sourceOf[to] !== table.sourceOf[from])
      .map((to): Edge => ({ from, to, kind: 'append' }));
  });
};

const collectByOffset = (
  indices: readonly number[],
  getOffset: (index: number) => number,
): readonly (readonly number[])[] => {
  const offsets = [...new Set(indices.map(getOffset))].sort((left, right) => left - right);
  const groups = new Map(offsets.map((offset): [number, number[]] => [offset, []]));
  for (const index of indices) groups.get(getOffset(index))?.push(index);
  return [...groups.values()];
};

const buildBarrier = (
  before: readonly number[],
  barrier: number,
  after: readonly number[],
): readonly Edge[] => [
  ...before.map((from): Edge => ({ from, to: barrier, kind: 'offset' })),
  ...after.map((to): Edge => ({ from: barrier, to, kind: 'offset' })),
];

/**
 * Computes for each event the highest offset of its stream that its process had logged by then, or
 * -1 for an event without an offset. A process that handles several records concurrently logs lower
 * offsets after higher ones; such an event is ordered by the highest offset logged before it.
 */
const computeHighWatermarks = (table: EventTable): readonly number[] => {
  const watermarks = new Map<string, number>();
  return table.events.map((event, index) => {
    if (event.position === undefined) return -1;
    const key = JSON.stringify([table.sourceOf[index], event.position.stream]);
    const watermark = Math.max(watermarks.get(key) ?? -1, event.position.offset);
    watermarks.set(key, watermark);
    return watermark;
  });
};

/**
 * Orders the events of each stream by offset. A barrier node between consecutive offsets keeps the
 * number of edges linear in the number of events.
 */
const buildOffsetOrder = (table: EventTable): PartialOrder => {
  const streams = collectIndices(table, (index) => table.events[index]?.position?.stream);
  const watermarks = computeHighWatermarks(table);
  const edges: Edge[] = [];
  let nodeCount = table.events.length;
  for (const indices of streams.values()) {
    const groups = collectByOffset(indices, (index) => watermarks[index] ?? -1);
    groups.slice(1).forEach((after, groupIndex) => {
      const before = groups[groupIndex] ?? [];
      const earlierBarrier = groupIndex === 0 ? [] : [nodeCount - 1];
      edges.push(...buildBarrier([...before, ...earlierBarrier], nodeCount, after));
      nodeCount += 1;
    });
  }
  return { nodeCount, edges };
};

/**
 * Builds the partial order of the events: the sequence of each process, the sending of a message
 * before its receipt, an append before the reads of its record, and lower offsets of a stream
 * before higher ones.
 *
 * @param table - events of all processes
 * @returns nodes and edges; append and offset edges can contradict the others and each other
 */
export const buildPartialOrder = (table: EventTable): PartialOrder => {
  const offsets = buildOffsetOrder(table);
  return {
    nodeCount: offsets.nodeCount,
    edges: [
      ...buildSequenceEdges(table),
      ...buildMessageEdges(table),
      ...buildAppendEdges(table),
      ...offsets.edges,
    ],
  };
};
