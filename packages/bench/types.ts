import type { LatencyRecorder } from './callers/latencies.js';
import type { Millis } from '../core/clock.js';

/** Route of a request: directly to an engine, or through the entry and the endpoint daemon. */
export type Route = 'direct' | 'path';

/** One measured period of a run. The callers of a stage also run in all later ones. */
export interface Stage {
  /** Number of callers, including those of earlier stages. */
  readonly callers: number;
  /** Time over which the starts of the new callers are spread. */
  readonly rampMs: Millis;
  /** Time from the end of the ramp to the start of the measurement. */
  readonly settleMs: Millis;
  readonly measureMs: Millis;
}

/** Plan of what the callers of a run do. */
export interface RunPlan {
  readonly stages: readonly Stage[];
  /** Tokens of each answer. */
  readonly tokens: number;
  /**
   * Maximum of the random pause before the next request of a caller. Without a pause, a request
   * would follow directly on a token and always reach the engine at the start of a step, which hides
   * a short added delay.
   */
  readonly maxPauseMs: Millis;
  /** Whether streams that are open after the last stage run to their end or are aborted. */
  readonly ending: 'finish-streams' | 'abandon-streams';
}

export type CallerId = number;

export type StreamEnd =
  { readonly kind: 'whole' } | { readonly kind: 'failed'; readonly reason: string };

export type CallersEvent =
  | { readonly kind: 'caller-due'; readonly caller: CallerId }
  | {
      readonly kind: 'events-arrived';
      readonly caller: CallerId;
      /** Number of server-sent events that arrived together. */
      readonly count: number;
      readonly at: Millis;
    }
  | { readonly kind: 'stream-ended'; readonly caller: CallerId; readonly end: StreamEnd }
  | { readonly kind: 'measure-begun'; readonly stage: number }
  | { readonly kind: 'measure-ended'; readonly stage: number };

/** Memory and processor time of a daemon, from its metrics page. */
export interface ProcessUsage {
  readonly rssBytes: number;
  readonly heapBytes: number;
  readonly externalBytes: number;
  readonly cpuSeconds: number;
}

/** Resource usage of the client and of the daemons on the request path at one time. */
export interface Sample {
  readonly at: Millis;
  readonly entry: ProcessUsage;
  /** Sum of all endpoint daemons. */
  readonly endpoints: ProcessUsage;
  readonly clientCpuSeconds: number;
}

export type SamplesEvent =
  | { readonly kind: 'begun'; readonly stage: number }
  | { readonly kind: 'sample-due'; readonly stage: number }
  | { readonly kind: 'sampled'; readonly stage: number; readonly sample: Sample }
  | { readonly kind: 'ended'; readonly stage: number };

/** Events of a run; `to` names the child that handles the event. */
export type BenchEvent =
  ({ readonly to: 'callers' } & CallersEvent) | ({ readonly to: 'samples' } & SamplesEvent);

export type BenchEffect =
  | { readonly kind: 'schedule'; readonly delayMs: Millis; readonly event: BenchEvent }
  | { readonly kind: 'post'; readonly event: BenchEvent }
  | { readonly kind: 'open-stream'; readonly caller: CallerId }
  | { readonly kind: 'take-sample'; readonly stage: number }
  | { readonly kind: 'watch-client'; readonly stage: number; readonly watch: 'begin' | 'end' }
  | { readonly kind: 'done' };

/** Latencies and token count of all callers in one stage. */
export interface StageRecord {
  /** Times from the request to the first token. */
  readonly firstTokens: LatencyRecorder;
  /** Times between two tokens of an answer. */
  readonly gaps: LatencyRecorder;
  /** Tokens that arrived while the stage was measured. */
  tokens: number;
}
