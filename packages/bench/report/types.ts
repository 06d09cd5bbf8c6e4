import type { RunMetadata } from './runMetadata.js';
import type { CapacityReport } from '../measureCapacity.js';
import type { LatencyReport } from '../measureLatency.js';
import type { StartupReport } from '../measureStartup.js';

/** One target of the design and the measured value. */
export interface TargetReport {
  readonly target: string;
  readonly measured: string;
  readonly result: 'met' | 'missed';
}

/** Report of the path bench; a part that was not run is null. */
export interface PathReport {
  readonly bench: 'path';
  readonly command: string;
  readonly identity: RunMetadata;
  readonly latency: LatencyReport | null;
  readonly capacity: CapacityReport | null;
  readonly startup: StartupReport | null;
  readonly targets: readonly TargetReport[];
}
