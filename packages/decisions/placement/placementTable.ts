import { FORECAST_REFRESH_SHARE, FORECAST_REFRESH_TOKENS } from './constants.js';
import type { LocalLoad, LocalPlacement, PlacementTableView, ReportState } from './types.js';
import type { Millis } from '../../core/clock.js';
import type { EndpointId, RequestId } from '../../core/ids.js';
import { applySequence, createMemoryChange, mergeMemoryChange } from '../survival/forecast.js';
import type { MemoryChange } from '../survival/forecast.js';
import type { SurvivalView } from '../survival/types.js';

type Writable<T> = { -readonly [K in keyof T]: T[K] };

interface TrackedPlacement extends Writable<LocalPlacement> {
  change: MemoryChange;
  /** Number of generated tokens when `change` was computed. */
  generatedAtForecast: number;
}

interface EndedPlacement {
  readonly endedAt: Millis;
  readonly tokens: number;
}

interface EndpointEntry {
  readonly load: Writable<LocalLoad>;
  readonly placements: Map<RequestId, TrackedPlacement>;
  ended: readonly EndedPlacement[];
  refusedAt: Millis;
}

/**
 * In-flight placements of this daemon, with totals per endpoint. The table is mutable, since a
 * daemon tracks thousands of placements and updates them with every token; it must have a single
 * owner.
 */
export interface PlacementTable extends PlacementTableView {
  readonly trackPlacement: (placement: LocalPlacement) => void;
  /** Records the total number of tokens generated for a request; ignores unknown requests. */
  readonly updateProgress: (requestId: RequestId, generated: number) => void;
  /** Removes a placement that ended; ignores unknown requests. */
  readonly releasePlacement: (requestId: RequestId, now: Millis) => void;
  /**
   * Records that an endpoint refused a request for lack of capacity. Until its next report, or
   * until one of this daemon's placements there ends, the endpoint counts as having at least
   * `count` requests.
   */
  readonly recordRefusal: (endpoint: EndpointId, count: number, now: Millis) => void;
  /** Applies a load report, sampled at `sampledAt` on this daemon's clock, to the totals. */
  readonly applyLoadReport: (endpoint: EndpointId, sampledAt: Millis) => void;
  /** Removes an endpoint and its placements. */
  readonly removeEndpoint: (endpoint: EndpointId) => void;
  readonly listPlacements: (endpoint: EndpointId) => readonly LocalPlacement[];
}

const createEntry = (): EndpointEntry => ({
  load: {
    includedCount: 0,
    includedTokens: 0,
    newCount: 0,
    newTokens: 0,
    endedCount: 0,
    endedTokens: 0,
    requestsAtRefusal: 0,
    change: createMemoryChange(),
  },
  placements: new Map(),
  ended: [],
  refusedAt: 0,
});

const updateSums = (
  load: Writable<LocalLoad>,
  report: ReportState,
  count: number,
  tokens: number,
): void => {
  if (report === 'included') {
    load.includedCount += count;
    load.includedTokens += tokens;
    return;
  }
  load.newCount += count;
  load.newTokens += tokens;
};

const getSize = (placement: LocalPlacement): number => placement.promptTokens + placement.generated;

const isForecastStale = (tracked: TrackedPlacement): boolean =>
  tracked.generated - tracked.generatedAtForecast >=
  Math.max(FORECAST_REFRESH_TOKENS, tracked.generatedAtForecast * FORECAST_REFRESH_SHARE);

const buildMemoryChange = (survival: SurvivalView, placement: LocalPlacement): MemoryChange => {
  const change = createMemoryChange();
  applySequence(change, survival.getCurve(placement), placement.generated, getSize(placement));
  return change;
};

/**
 * Creates a table of this daemon's placements.
 *
 * @param survival - output length estimates for the memory forecasts
 * @returns an empty table
 */
export const createPlacementTable = (survival: SurvivalView): PlacementTable => {
  const entries = new Map<EndpointId, EndpointEntry>();
  const endpointByRequest = new Map<RequestId, EndpointId>();
  let placementCount = 0;

  const getEntry = (endpoint: EndpointId): EndpointEntry => {
    const known = entries.get(endpoint);
    if (known !== undefined) return known;
    const created = createEntry();
    entries.set(endpoint, created);
    return created;
  };

  const findTracked = (requestId: RequestId) => {
    const endpoint = endpointByRequest.get(requestId);
    const entry = endpoint === undefined ? undefined : entries.get(endpoint);
    const tracked = entry?.placements.get(requestId);
    return entry === undefined || tracked === undefined ? undefined : { entry, tracked };
  };

  const releasePlacement = (requestId: RequestId, now: Millis): void => {
    const found = findTracked(requestId);
    if (found === undefined) return;
    const { entry, tracked } = found;
    const tokens = getSize(tracked);
    endpointByRequest.delete(requestId);
    entry.placements.delete(requestId);
    entry.load.requestsAtRefusal = 0;
    updateSums(entry.load, tracked.report, -1, -tokens);
    mergeMemoryChange(entry.load.change, tracked.change, -1);
    // Adding and subtracting accumulates rounding errors, so an idle endpoint is reset to zero.
    if (entry.placements.size === 0) entry.load.change = createMemoryChange();
    if (tracked.report === 'not-included') return;
    entry.ended = [...entry.ended, { endedAt: now, tokens }];
    entry.load.endedCount += 1;
    entry.load.endedTokens += tokens;
  };

  return {
    getPlacementCount: () => placementCount,
    getLoad: (endpoint) => entries.get(endpoint)?.load,
    trackPlacement: (placement) => {
      placementCount += 1;
      const entry = getEntry(placement.endpoint);
      const change = buildMemoryChange(survival, placement);
      const tracked = { ...placement, change, generatedAtForecast: placement.generated };
      entry.placements.set(placement.requestId, tracked);
      endpointByRequest.set(placement.requestId, placement.endpoint);
      updateSums(entry.load, placement.report, 1, getSize(placement));
      mergeMemoryChange(entry.load.change, change);
    },
    updateProgress: (requestId, generated) => {
      const found = findTracked(requestId);
      if (found === undefined) return;
      const { entry, tracked } = found;
      updateSums(entry.load, tracked.report, 0, generated - tracked.generated);
      tracked.generated = generated;
      if (!isForecastStale(tracked)) return;
      mergeMemoryChange(entry.load.change, tracked.change, -1);
      tracked.change = buildMemoryChange(survival, tracked);
      tracked.generatedAtForecast = generated;
      mergeMemoryChange(entry.load.change, tracked.change);
    },
    releasePlacement,
    recordRefusal: (endpoint, count, now) => {
      const entry = getEntry(endpoint);
      entry.load.requestsAtRefusal = count;
      entry.refusedAt = now;
    },
    applyLoadReport: (endpoint, sampledAt) => {
      const entry = entries.get(endpoint);
      if (entry === undefined) return;
      for (const tracked of entry.placements.values()) {
        if (tracked.report === 'included' || tracked.placedAt > sampledAt) continue;
        updateSums(entry.load, 'not-included', -1, -getSize(tracked));
        tracked.report = 'included';
        updateSums(entry.load, 'included', 1, getSize(tracked));
      }
      if (sampledAt >= entry.refusedAt) entry.load.requestsAtRefusal = 0;
      entry.ended = entry.ended.filter((item) => item.endedAt > sampledAt);
      entry.load.endedCount = entry.ended.length;
      entry.load.endedTokens = entry.ended.reduce((sum, item) => sum + item.tokens, 0);
    },
    removeEndpoint: (endpoint) => {
      for (const requestId of entries.get(endpoint)?.placements.keys() ?? []) {
        endpointByRequest.delete(requestId);
      }
      entries.delete(endpoint);
    },
    listPlacements: (endpoint) => [...(entries.get(endpoint)?.placements.values() ?? [])],
  };
};
