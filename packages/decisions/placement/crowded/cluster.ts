import { countMemory, createFluidEngine, runEngine } from './engine.js';
import type { EngineSequence, FluidEngine } from './engine.js';
import type { WorkItem } from './workload.js';
import type { Millis } from '../../../core/clock.js';
import { createRandomSource } from '../../../core/random.js';
import { decideAdmit } from '../../admission/decideAdmit.js';
import { createAdmissionState, decideLimit, getLimit } from '../../admission/decideLimit.js';
import type {
  AdmissionContext,
  AdmissionEvent,
  AdmissionSettings,
  AdmissionState,
} from '../../admission/types.js';
import { createQueueState, decideQueue, listHeads } from '../../fairness/decideQueue.js';
import type { QueueEvent, QueueState } from '../../fairness/types.js';
import { computePriority } from '../../preemption/preemption.js';
import { createSurvivalTable } from '../../survival/survivalTable.js';
import type { SurvivalTable } from '../../survival/survivalTable.js';
import { choosePlacement } from '../choosePlacement.js';
import { createPlacementTable } from '../placementTable.js';
import type { PlacementTable } from '../placementTable.js';
import type { EndpointView, PlacementPolicy } from '../types.js';

export const STEP_MS = 20;
const HEARTBEAT_MS = 500;
/** Age of a load report when it arrives, since engines report with a lag. */
const LOAD_LAG_MS = 300;
const LOAD_READ_MS = 200;
const QUEUE_SETTINGS = { maxWaiting: 4_000, maxWaitingPerClass: 4_000, retryAfterMs: 1_000 };

/** A combination of policies to compare. */
export interface Variant {
  readonly name: string;
  readonly policy: PlacementPolicy;
  readonly admission: AdmissionSettings;
  /** Whether engines receive priority numbers by class. */
  readonly priorities: 'by-class' | 'none';
}

/** Size and seed of the simulated cluster. */
export interface ClusterOptions {
  readonly engines: number;
  readonly memoryTokens: number;
  readonly entries: number;
  readonly seed: number;
}

/** A simulated endpoint daemon with its engine. */
interface ClusterEndpoint {
  readonly engine: FluidEngine;
  readonly survival: SurvivalTable;
  readonly context: AdmissionContext;
  admission: AdmissionState;
  view: EndpointView;
}

/** A simulated entry daemon. */
interface ClusterEntry {
  readonly survival: SurvivalTable;
  readonly placements: PlacementTable;
  queue: QueueState;
}

/** Outcome of a request; `refused` when the queue refused it, on arrival or after a wait. */
export interface RequestOutcome {
  readonly item: WorkItem;
  readonly firstTokenMs?: Millis;
  readonly sequence?: EngineSequence;
  readonly end: 'finished' | 'refused';
}

const buildView = (endpoint: Pick<ClusterEndpoint, 'engine' | 'admission'>): EndpointView => {
  const { engine, admission } = endpoint;
  const waiting = engine.sequences.filter((sequence) => sequence.phase === 'waiting').length;
  return {
    endpoint: engine.name,
    incarnation: engine.name,
    dataCentre: 'north',
    model: 'draft',
    version: 'v1',
    phase: 'serving',
    limit: getLimit(admission),
    running: engine.sequences.length - waiting,
    waiting,
    memoryUsedTokens: countMemory(engine),
    memoryTotalTokens: engine.memoryTokens,
    tokensPerSecond: engine.tokensPerSecond,
    loadAgeMs: LOAD_LAG_MS,
    prefixes: new Set(),
    prefixAgeMs: 0,
    prefixGaps: 0,
    preemptions: engine.preemptions,
  };
};

/** State of one run, updated in place. */
interface Cluster {
  readonly variant: Variant;
  readonly endpoints: readonly ClusterEndpoint[];
  readonly entries: readonly ClusterEntry[];
  readonly items: ReadonlyMap<string, WorkItem>;
  readonly entryOf: Map<string, ClusterEntry>;
  readonly firstTokens: Map<string, Millis>;
  readonly random: ReturnType<typeof createRandomSource>;
  readonly reports: { readonly sampledAt: Millis; readonly views: readonly EndpointView[] }[];
  readonly outcomes: RequestOutcome[];
  sampledAt: Millis;
}

const createEndpoint = (name: string, variant: Variant, memoryTokens: number): ClusterEndpoint => {
  const engine = createFluidEngine(name, memoryTokens);
  const admission = createAdmissionState(0);
  const survival = createSurvivalTable();
  const context = { settings: variant.admission, survival };
  return { engine, survival, context, admission, view: buildView({ engine, admission }) };
};

const createEntryDaemon = (): ClusterEntry => {
  const survival = createSurvivalTable();
  return {
    survival,
    placements: createPlacementTable(survival),
    queue: createQueueState(QUEUE_SETTINGS),
  };
};

const createCluster = (
  variant: Variant,
  options: ClusterOptions,
  items: readonly WorkItem[],
): Cluster => ({
  variant,
  endpoints: Array.from({ length: options.engines }, (_, index) =>
    createEndpoint(`engine-${index.toString()}`, variant, options.memoryTokens),
  ),
  entries: Array.from({ length: options.entries }, createEntryDaemon),
  items: new Map(items.map((item) => [item.requestId, item])),
  entryOf: new Map(),
  firstTokens: new Map(),
  random: createRandomSource(options.seed),
  reports: [],
  outcomes: [],
  sampledAt: 0,
});

const applyAdmissionEvent = (endpoint: ClusterEndpoint, event: AdmissionEvent): void => {
  endpoint.admission = decideLimit(endpoint.admission, event, endpoint.context).state;
};

const applyQueueEvent = (cluster: Cluster, entry: ClusterEntry, event: QueueEvent): void => {
  const step = decideQueue(entry.queue, event);
  entry.queue = step.state;
  for (const effect of step.effects) {
    const item = effect.kind === 'refuse' ? cluster.items.get(effect.requestId) : undefined;
    if (item !== undefined) cluster.outcomes.push({ item, end: 'refused' });
  }
};

const toAdmissionRequest = (item: WorkItem) => ({
  requestId: item.requestId,
  targets: item.work.targets,
  customer: item.customer,
  version: 'v1',
  promptTokens: item.work.promptTokens,
});

const startOnEndpoint = (
  cluster: Cluster,
  entry: ClusterEntry,
  endpoint: ClusterEndpoint,
  item: WorkItem,
  now: Millis,
): void => {
  const { targets, promptTokens } = item.work;
  applyAdmissionEvent(endpoint, { kind: 'admitted', request: toAdmissionRequest(item), now });
  applyQueueEvent(cluster, entry, { kind: 'dequeue', requestId: item.requestId });
  cluster.entryOf.set(item.requestId, entry);
  entry.placements.trackPlacement({
    requestId: item.requestId,
    endpoint: endpoint.engine.name,
    className: targets.className,
    customer: item.customer,
    version: 'v1',
    promptTokens,
    generated: 0,
    report: 'not-included',
    placedAt: now,
  });
  endpoint.engine.sequences.push({
    requestId: item.requestId,
    className: targets.className,
    priority:
      cluster.variant.priorities === 'by-class' ? computePriority(targets, 'higher-first') : 0,
    promptTokens,
    outputTokens: item.outputTokens,
    arrivedAt: now,
    phase: 'waiting',
    generated: 0,
    prefillLeft: promptTokens,
    preemptions: 0,
    stallMs: 0,
  });
};

/** Tries endpoints until one admits the request; one that refuses is not tried again. */
const dispatchItem = (
  cluster: Cluster,
  entry: ClusterEntry,
  item: WorkItem,
  now: Millis,
): boolean => {
  const excluded = new Set<string>();
  const ageMs = now - cluster.sampledAt;
  const views = cluster.endpoints.map((endpoint) => ({ ...endpoint.view, loadAgeMs: ageMs }));
  for (;;) {
    const decision = choosePlacement(
      cluster.variant.policy,
      {
        requestId: item.requestId,
        target: { kind: 'model', model: 'draft' },
        customer: item.customer,
        targets: item.work.targets,
        promptTokens: item.work.promptTokens,
        dataCentre: 'north',
        excluded,
      },
      views,
      entry.placements,
      entry.survival,
      cluster.random,
    );
    if (decision.kind !== 'place') return false;
    const chosen = decision.endpoint;
    const endpoint = cluster.endpoints.find((item) => item.engine.name === chosen);
    if (endpoint === undefined) return false;
    const admit = decideAdmit(endpoint.admission, toAdmissionRequest(item), endpoint.context);
    if (admit.kind === 'admit') {
      startOnEndpoint(cluster, entry, endpoint, item, now);
      return true;
    }
    excluded.add(chosen);
  }
};

const runQueue = (cluster: Cluster, entry: ClusterEntry, now: Millis): void => {
  applyQueueEvent(cluster, entry, { kind: 'tick', now });
  for (let placed = true; placed;) {
    placed = false;
    for (const head of listHeads(entry.queue)) {
      const item = cluster.items.get(head.requestId);
      if (item !== undefined && dispatchItem(cluster, entry, item, now)) placed = true;
    }
  }
};

const receiveItem = (cluster: Cluster, item: WorkItem): void => {
  const entry = cluster.entries[item.entry] as ClusterEntry;
  const { targets, promptTokens, maxWaitMs } = item.work;
  const key = { className: targets.className, customer: item.customer, version: 'v1' };
  applyQueueEvent(cluster, entry, {
    kind: 'enqueue',
    request: {
      requestId: item.requestId,
      className: targets.className,
      importance: targets.importance,
      resource: 'draft',
      customer: item.customer,
      weight: 1,
      predictedTokens: promptTokens + entry.survival.estimateRemaining(key, 0).mean,
      enqueuedAt: item.at,
      latestStartAt: item.at + maxWaitMs,
    },
  });
};

const readLoad = (endpoint: ClusterEndpoint, now: Millis): void => {
  const { engine } = endpoint;
  applyAdmissionEvent(endpoint, {
    kind: 'load-read',
    identity: engine.name,
    memory: {
      usedTokens: countMemory(engine),
      totalTokens: engine.memoryTokens,
      tokensPerSecond: engine.tokensPerSecond,
      preemptions: engine.preemptions,
    },
    generated: new Map(
      engine.sequences.map((sequence) => [sequence.requestId, Math.floor(sequence.generated)]),
    ),
    requestedAt: now,
    now,
  });
};

const finishSequence = (
  cluster: Cluster,
  endpoint: ClusterEndpoint,
  sequence: EngineSequence,
  now: Millis,
): void => {
  const { requestId } = sequence;
  const item = cluster.items.get(requestId) as WorkItem;
  const entry = cluster.entryOf.get(requestId) as ClusterEntry;
  const key = { className: sequence.className, customer: item.customer, version: 'v1' };
  entry.survival.observeFinished(key, item.outputTokens);
  endpoint.survival.observeFinished(key, item.outputTokens);
  entry.placements.releasePlacement(requestId, now);
  applyAdmissionEvent(endpoint, { kind: 'sequence-ended', requestId, reason: 'finished', now });
  const firstTokenMs = cluster.firstTokens.get(requestId) ?? now - item.at;
  cluster.outcomes.push({ item, firstTokenMs, sequence, end: 'finished' });
};

const runEndpoint = (cluster: Cluster, endpoint: ClusterEndpoint, now: Millis): void => {
  const { engine } = endpoint;
  const step = runEngine(engine, STEP_MS);
  for (const sequence of step.firstTokens) {
    const item = cluster.items.get(sequence.requestId) as WorkItem;
    cluster.firstTokens.set(sequence.requestId, now + STEP_MS - item.at);
  }
  for (const sequence of engine.sequences) {
    const entry = cluster.entryOf.get(sequence.requestId) as ClusterEntry;
    entry.placements.updateProgress(sequence.requestId, Math.floor(sequence.generated));
  }
  const [first] = engine.sequences;
  if (first !== undefined) {
    applyAdmissionEvent(endpoint, {
      kind: 'tokens-received',
      requestId: first.requestId,
      tokens: (engine.tokensPerSecond * STEP_MS) / 1_000,
      gapMs: engine.gapMs,
      now,
    });
  }
  for (const sequence of step.finished) finishSequence(cluster, endpoint, sequence, now);
};

const updateReports = (cluster: Cluster, now: Millis): void => {
  if (now % HEARTBEAT_MS === 0) {
    cluster.reports.push({ sampledAt: now, views: cluster.endpoints.map(buildView) });
  }
  const [oldest] = cluster.reports;
  if (oldest === undefined || oldest.sampledAt + LOAD_LAG_MS > now) return;
  cluster.reports.shift();
  cluster.sampledAt = oldest.sampledAt;
  cluster.endpoints.forEach((endpoint, index) => {
    endpoint.view = oldest.views[index] as EndpointView;
    for (const entry of cluster.entries)
      entry.placements.applyLoadReport(endpoint.engine.name, oldest.sampledAt);
  });
};

/** Result of a run: outcomes of the requests, and mean memory in use by all engines in tokens. */
export interface ClusterResult {
  readonly outcomes: readonly RequestOutcome[];
  readonly meanMemoryTokens: number;
  readonly preemptions: number;
}

/**
 * Simulates a workload through queues, placement, admission and engines.
 *
 * @param variant - policies to run
 * @param options - size and seed of the cluster
 * @param items - requests in order of arrival
 * @param measureFrom - instant in milliseconds from which memory use is averaged
 * @param until - end of the run in milliseconds
 * @returns outcomes of the requests that ended
 */
export const runCluster = (
  variant: Variant,
  options: ClusterOptions,
  items: readonly WorkItem[],
  measureFrom: Millis,
  until: Millis,
): ClusterResult => {
  const cluster = createCluster(variant, options, items);
  let next = 0;
  let memory = 0;
  for (let now = 0; now < until; now += STEP_MS) {
    updateReports(cluster, now);
    for (let item = items[next]; item !== undefined && item.at <= now; item = items[next]) {
      receiveItem(cluster, item);
      next += 1;
    }
    for (const endpoint of cluster.endpoints) if (now % LOAD_READ_MS === 0) readLoad(endpoint, now);
    for (const entry of cluster.entries) runQueue(cluster, entry, now);
    for (const endpoint of cluster.endpoints) runEndpoint(cluster, endpoint, now);
    if (now < measureFrom) continue;
    for (const { engine } of cluster.endpoints) memory += countMemory(engine);
  }
  return {
    outcomes: cluster.outcomes,
    meanMemoryTokens: memory / ((until - measureFrom) / STEP_MS),
    preemptions: cluster.endpoints.reduce((sum, { engine }) => sum + engine.preemptions, 0),
  };
};
