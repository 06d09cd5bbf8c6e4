import {
  CLASS_DECAY_OBSERVATIONS,
  KEY_DECAY_OBSERVATIONS,
  MAX_TRACKED_CLASSES,
  MAX_TRACKED_KEYS,
  SHRINKAGE_TO_CLASS,
  SHRINKAGE_TO_PRIOR,
} from './constants.js';
import {
  applyObservation,
  computeUnknownSurvival,
  createHazardCounts,
  estimateCurve,
  estimateRemainingTokens,
  PRIOR_CURVE,
} from './hazard.js';
import type { HazardCounts, ObservedEnd } from './hazard.js';
import type { HazardCurve, SurvivalKey, SurvivalView } from './types.js';

/** Size bounds of a table. */
export interface SurvivalOptions {
  readonly maxKeys?: number;
  readonly maxClasses?: number;
}

/**
 * Online estimates of output lengths. The table is mutable, since it holds thousands of keys and is
 * updated after every generation; it must have a single owner.
 */
export interface SurvivalTable extends SurvivalView {
  /** Records the length of a finished generation. */
  readonly observeFinished: (key: SurvivalKey, tokens: number) => void;
  /** Records that a generation was cancelled or interrupted after `tokens` tokens. */
  readonly observeCensored: (key: SurvivalKey, tokens: number) => void;
  readonly countKeys: () => number;
}

/** Observation counts, and the cached curve estimated from them and a parent's curve. */
interface EstimateNode {
  readonly counts: HazardCounts;
  curve: HazardCurve | undefined;
  parent: HazardCurve;
}

const createNode = (): EstimateNode => ({
  counts: createHazardCounts(),
  curve: undefined,
  parent: PRIOR_CURVE,
});

const getNodeCurve = (node: EstimateNode, parent: HazardCurve, strength: number): HazardCurve => {
  if (node.curve !== undefined && node.parent === parent) return node.curve;
  node.parent = parent;
  node.curve = estimateCurve(node.counts, parent, strength);
  return node.curve;
};

const updateNode = (
  node: EstimateNode,
  tokens: number,
  end: ObservedEnd,
  decayObservations: number,
): void => {
  applyObservation(node.counts, tokens, end, 1 - 1 / decayObservations);
  node.curve = undefined;
};

/**
 * Returns the node of a name, created if needed, and moves it to the end of the map. The first
 * entry is therefore the least recently observed one, which is evicted when the map exceeds its
 * bound.
 */
const selectNode = (
  nodes: Map<string, EstimateNode>,
  name: string,
  bound: number,
): EstimateNode => {
  const node = nodes.get(name) ?? createNode();
  nodes.delete(name);
  nodes.set(name, node);
  if (nodes.size > bound) {
    const [oldest] = nodes.keys();
    if (oldest !== undefined) nodes.delete(oldest);
  }
  return node;
};

/**
 * Joins the parts with a control character that names cannot contain. Formatting keys as JSON took
 * most of the time of a placement decision.
 */
const formatKey = (key: SurvivalKey): string =>
  `${key.className}\u0000${key.customer}\u0000${key.version}`;

/**
 * Creates a table of length estimates. The estimate of a key is shrunk towards that of its class,
 * and the estimate of a class towards the prior.
 *
 * @param options - bounds on the number of tracked keys and classes
 * @returns an empty table
 */
export const createSurvivalTable = (options: SurvivalOptions = {}): SurvivalTable => {
  const maxKeys = options.maxKeys ?? MAX_TRACKED_KEYS;
  const maxClasses = options.maxClasses ?? MAX_TRACKED_CLASSES;
  const keys = new Map<string, EstimateNode>();
  const classes = new Map<string, EstimateNode>();
  const overall = createNode();
  const unknownSurvival = new Map<number, number>();

  const getCurve = (key: SurvivalKey): HazardCurve => {
    const classNode = classes.get(key.className);
    if (classNode === undefined) return PRIOR_CURVE;
    const classCurve = getNodeCurve(classNode, PRIOR_CURVE, SHRINKAGE_TO_PRIOR);
    const node = keys.get(formatKey(key));
    return node === undefined ? classCurve : getNodeCurve(node, classCurve, SHRINKAGE_TO_CLASS);
  };

  const observe = (key: SurvivalKey, tokens: number, end: ObservedEnd): void => {
    const classNode = selectNode(classes, key.className, maxClasses);
    updateNode(classNode, tokens, end, CLASS_DECAY_OBSERVATIONS);
    updateNode(selectNode(keys, formatKey(key), maxKeys), tokens, end, KEY_DECAY_OBSERVATIONS);
    updateNode(overall, tokens, end, CLASS_DECAY_OBSERVATIONS);
    unknownSurvival.clear();
  };

  return {
    getCurve,
    countKeys: () => keys.size,
    observeFinished: (key, tokens) => {
      observe(key, tokens, 'finished');
    },
    observeCensored: (key, tokens) => {
      observe(key, tokens, 'censored');
    },
    estimateRemaining: (key, generated) => estimateRemainingTokens(getCurve(key), generated),
    estimateUnknownSurvival: (tokens) => {
      const known = unknownSurvival.get(tokens);
      if (known !== undefined) return known;
      const curve = getNodeCurve(overall, PRIOR_CURVE, SHRINKAGE_TO_PRIOR);
      const survival = computeUnknownSurvival(curve, tokens);
      unknownSurvival.set(tokens, survival);
      return survival;
    },
  };
};
