import type { Edge, PartialOrder } from './edges.js';
import type { CauseKind } from './types.js';

/** Kinds by the strength of their evidence; of a cycle the weakest edge is left out. */
const EVIDENCE_STRENGTH: Readonly<Record<CauseKind, number>> = {
  offset: 0,
  append: 1,
  message: 2,
  sequence: 3,
};

/** Edges of a node that are still to be met, updated in place while the nodes are placed. */
interface SortState {
  readonly outgoing: readonly Edge[][];
  readonly incoming: readonly Set<Edge>[];
  readonly ready: Set<number>;
  readonly placed: Set<number>;
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
  return { outgoing, incoming, ready, placed: new Set() };
};

const removeEdge = (state: SortState, edge: Edge): void => {
  const edges = state.incoming[edge.to];
  if (edges === undefined || !edges.delete(edge)) return;
  if (edges.size === 0 && !state.placed.has(edge.to)) state.ready.add(edge.to);
};

/** Walks against the edges from a node that cannot be placed until a node repeats. */
const findCycle = (state: SortState, start: number): readonly Edge[] => {
  const walked: Edge[] = [];
  const firstSteps = new Map<number, number>();
  let node = start;
  while (!firstSteps.has(node)) {
    firstSteps.set(node, walked.length);
    const [edge] = state.incoming[node] ?? [];
    if (edge === undefined) return [];
    walked.push(edge);
    node = edge.from;
  }
  return walked.slice(firstSteps.get(node));
};

/** Leaves out the weakest edge of a cycle behind a node that cannot be placed. */
const removeWeakestEdge = (state: SortState, blocked: number): void => {
  const [first, ...others] = findCycle(state, blocked);
  if (first === undefined) throw new Error(`node ${blocked.toString()} is blocked by no cycle`);
  const weakest = others.reduce(
    (best, edge) => (EVIDENCE_STRENGTH[edge.kind] < EVIDENCE_STRENGTH[best.kind] ? edge : best),
    first,
  );
  removeEdge(state, weakest);
};

const placeNode = (state: SortState, node: number): void => {
  state.ready.delete(node);
  state.placed.add(node);
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
 * Sorts the nodes so that every edge goes forward. Where edges contradict each other, the weakest
 * edge of each cycle is left out.
 *
 * @param order - partial order
 * @param compare - order of nodes that no edge decides; must be total
 * @returns all nodes, first to last
 */
export const sortNodes = (
  order: PartialOrder,
  compare: (left: number, right: number) => number,
): readonly number[] => {
  const state = createSortState(order);
  const sorted: number[] = [];
  // A node whose edges are met stays so, and the search for a blocked node never goes back.
  let blocked = 0;
  while (sorted.length < order.nodeCount) {
    const node = pickFirst(state.ready, compare);
    if (node === undefined) {
      while ((state.incoming[blocked]?.size ?? 1) === 0) blocked += 1;
      removeWeakestEdge(state, blocked);
      continue;
    }
    placeNode(state, node);
    sorted.push(node);
  }
  return sorted;
};
