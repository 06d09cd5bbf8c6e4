import type { Edge, PartialOrder } from './edges.js';
import type { CauseKind } from './types.js';

/** Kinds by the strength of their evidence; of a cycle the weakest edge is left out. */
const STRENGTH: Readonly<Record<CauseKind, number>> = {
  offset: 0,
  append: 1,
  message: 2,
  sequence: 3,
};

/** Edges of a node that are still to be met, updated in place while the nodes are placed. */
interface Progress {
  readonly outgoing: readonly Edge[][];
  readonly incoming: readonly Set<Edge>[];
  readonly ready: Set<number>;
  readonly placed: Set<number>;
}

const createProgress = (order: PartialOrder): Progress => {
  const outgoing = Array.from({ length: order.nodes }, (): Edge[] => []);
  const incoming = Array.from({ length: order.nodes }, () => new Set<Edge>());
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

const removeEdge = (progress: Progress, edge: Edge): void => {
  const edges = progress.incoming[edge.to];
  if (edges === undefined || !edges.delete(edge)) return;
  if (edges.size === 0 && !progress.placed.has(edge.to)) progress.ready.add(edge.to);
};

/** Walks against the edges from a node that cannot be placed until a node repeats. */
const findCycle = (progress: Progress, start: number): readonly Edge[] => {
  const walked: Edge[] = [];
  const seenAt = new Map<number, number>();
  let node = start;
  while (!seenAt.has(node)) {
    seenAt.set(node, walked.length);
    const [edge] = progress.incoming[node] ?? [];
    if (edge === undefined) return [];
    walked.push(edge);
    node = edge.from;
  }
  return walked.slice(seenAt.get(node));
};

/** Leaves out the weakest edge of a cycle behind a node that cannot be placed. */
const resolveCycle = (progress: Progress, blocked: number): void => {
  const [first, ...others] = findCycle(progress, blocked);
  if (first === undefined) throw new Error(`node ${blocked.toString()} is blocked by no cycle`);
  const weakest = others.reduce(
    (best, edge) => (STRENGTH[edge.kind] < STRENGTH[best.kind] ? edge : best),
    first,
  );
  removeEdge(progress, weakest);
};

const addPlaced = (progress: Progress, node: number): void => {
  progress.ready.delete(node);
  progress.placed.add(node);
  for (const edge of progress.outgoing[node] ?? []) removeEdge(progress, edge);
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
  const progress = createProgress(order);
  const sorted: number[] = [];
  // A node whose edges are met stays so, and the search for a blocked node never goes back.
  let blocked = 0;
  while (sorted.length < order.nodes) {
    const node = pickFirst(progress.ready, compare);
    if (node === undefined) {
      while ((progress.incoming[blocked]?.size ?? 1) === 0) blocked += 1;
      resolveCycle(progress, blocked);
      continue;
    }
    addPlaced(progress, node);
    sorted.push(node);
  }
  return sorted;
};
