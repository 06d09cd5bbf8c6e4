import type { Edge, PartialOrder } from './edges.js';
import type { CauseKind } from './types.js';

/** Strength of the evidence of each kind of edge; the weakest edge of a cycle is removed. */
const EVIDENCE_STRENGTH: Readonly<Record<CauseKind, number>> = {
  offset: 0,
  append: 1,
  message: 2,
  sequence: 3,
};

/** Remaining edges and removed nodes of a topological sort, updated in place. */
interface SortState {
  readonly outgoing: readonly Edge[][];
  readonly incoming: readonly Set<Edge>[];
  readonly ready: Set<number>;
  readonly removed: Set<number>;
}

const createSortState = (order: PartialOrder): SortState => {
  const outgoing = Array.from({ length: order.nodeCount }, (): Edge[] => []);
  const incoming = Array.from({ length: order.nodeCount }, () => new Set<Edge>());
  for (const edge of order.edges) {
    outgoing[edge.from]?.push(edge);
    incoming[edge.to]?.add(edge);
  }
  const ready = new Set<number>();
  incoming.forEach((edges, node) => {
    if (edges.size === 0) ready.add(node);
  });
  return { outgoing, incoming, ready, removed: new Set() };
};

const removeEdge = (state: SortState, edge: Edge): void => {
  const edges = state.incoming[edge.to];
  if (edges === undefined || !edges.delete(edge)) return;
  if (edges.size === 0 && !state.removed.has(edge.to)) state.ready.add(edge.to);
};

/** Follows incoming edges backwards from a blocked node until a node repeats. */
const findCycle = (state: SortState, start: number): readonly Edge[] => {
  const path: Edge[] = [];
  const firstSteps = new Map<number, number>();
  let node = start;
  while (!firstSteps.has(node)) {
    firstSteps.set(node, path.length);
    const [edge] = state.incoming[node] ?? [];
    if (edge === undefined) return [];
    path.push(edge);
    node = edge.from;
  }
  return path.slice(firstSteps.get(node));
};

/** Removes the weakest edge of a cycle that blocks a node. */
const removeWeakestEdge = (state: SortState, blocked: number): void => {
  const [first, ...others] = findCycle(state, blocked);
  if (first === undefined) throw new Error(`node ${blocked.toString()} is not blocked by a cycle`);
  const weakest = others.reduce(
    (best, edge) => (EVIDENCE_STRENGTH[edge.kind] < EVIDENCE_STRENGTH[best.kind] ? edge : best),
    first,
  );
  removeEdge(state, weakest);
};

const removeNode = (state: SortState, node: number): void => {
  state.ready.delete(node);
  state.removed.add(node);
  for (const edge of state.outgoing[node] ?? []) removeEdge(state, edge);
};

const pickFirst = (
  ready: ReadonlySet<number>,
  compare: (left: number, right: number) => number,
): number | undefined => {
  let first: number | undefined;
  for (const node of ready) {
    if (first === undefined || compare(node, first) < 0) first = node;
  }
  return first;
};

/**
 * Sorts the nodes topologically. Where edges contradict each other, the weakest edge of each cycle
 * is removed.
 *
 * @param order - partial order
 * @param compare - total order that decides between nodes without remaining incoming edges
 * @returns all nodes in order
 */
export const sortNodes = (
  order: PartialOrder,
  compare: (left: number, right: number) => number,
): readonly number[] => {
  const state = createSortState(order);
  const sorted: number[] = [];
  // Removed edges are never added again, so the search for a blocked node only moves forward.
  let blocked = 0;
  while (sorted.length < order.nodeCount) {
    const node = pickFirst(state.ready, compare);
    if (node === undefined) {
      while ((state.incoming[blocked]?.size ?? 1) === 0) blocked += 1;
      removeWeakestEdge(state, blocked);
      continue;
    }
    removeNode(state, node);
    sorted.push(node);
  }
  return sorted;
};
