import type { Millis } from '../../core/clock.js';
import type { AdmissionState } from '../../decisions/admission/types.js';
import type { EngineHealth, EngineLoad, EvidenceCounters, WorkId } from '../types.js';

/** Cached prompt prefixes as the engine's late and gappy events tell them. */
export interface CachedPrefixes {
  /** Hashes in the order in which they were stored, oldest first. */
  readonly hashes: ReadonlySet<string>;
  readonly next: number;
  /** Events known to be lost. */
  readonly gaps: number;
  readonly newestAt: Millis;
}

/** What the endpoint daemon knows of its endpoint; rebuilt from the endpoint's own pages. */
export interface EngineState {
  readonly reachability: 'unknown' | 'reached' | 'unreachable';
  readonly health: EngineHealth | null;
  readonly load: EngineLoad | null;
  /** Instant by the own clock that the load figures describe. */
  readonly loadMeasuredAt: Millis;
  readonly admission: AdmissionState;
  /** Tokens generated so far; updated in place, since every generation reports several times a second. */
  readonly generatedTokens: Map<WorkId, number>;
  readonly cachedPrefixes: CachedPrefixes;
  /** Cumulative counters by route and class. */
  readonly evidence: ReadonlyMap<string, EvidenceCounters>;
}
