import type { Millis } from '../../core/clock.js';
import type { AdmissionState } from '../../decisions/admission/types.js';
import type { EngineHealth, EngineLoad, EvidenceCounters, WorkId } from '../types.js';

/**
 * Prompt prefixes in the engine's cache according to its cache events, which arrive late and may be
 * incomplete.
 */
export interface CachedPrefixes {
  /** Hashes in the order in which they were stored, oldest first. */
  readonly hashes: ReadonlySet<string>;
  /** Sequence number of the next cache event to request. */
  readonly next: number;
  /** Number of cache events known to be lost. */
  readonly gaps: number;
  readonly newestAt: Millis;
}

/** State of the endpoint as its daemon observes it; rebuilt from the endpoint's HTTP pages. */
export interface EngineState {
  readonly reachability: 'unknown' | 'reached' | 'unreachable';
  readonly health: EngineHealth | null;
  readonly load: EngineLoad | null;
  /** Instant, by this process's clock, at which the load figures were measured. */
  readonly loadMeasuredAt: Millis;
  readonly admission: AdmissionState;
  /**
   * Tokens generated so far by each running generation; updated in place, since every generation
   * reports several times a second.
   */
  readonly generatedTokens: Map<WorkId, number>;
  readonly cachedPrefixes: CachedPrefixes;
  /** Cumulative counters by route and class. */
  readonly evidence: ReadonlyMap<string, EvidenceCounters>;
}
