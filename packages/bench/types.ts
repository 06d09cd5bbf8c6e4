import type { LatencyRecorder } from './callers/latencies.js';
import type { Millis } from '../core/clock.js';

/** Way of a request: straight to an engine, or through the entry and the endpoint daemon. */
export type Route = 'direct' | 'path';

/** One measured time of a run. Callers of an earlier stage go on in the later ones. */
export interface Stage {
  /** Callers in all, with those of earlier stages. */
  readonly callers: number;
  /** Time over which the new callers start. */
  readonly rampMs: Millis;
  /** Time from the end of the ramp to the start of the measurement. */
  readonly settleMs: Millis;
  readonly measureMs: Millis;
}

/** What the callers do. */
export interface RunPlan {
  readonly stages: readonly Stage[];
  /** Tokens of each answer. */
  readonly tokens: number;
  /**
   * Longest pause before a request. Pauses are random, because a caller that asked again right after
   * a token would always meet the engine at the start of a step, which hides a short added delay.
   */
  readonly maxPauseMs: Millis;
  /** Whether streams that are open after the last stage run to their end. */
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
      /** Server-sent events that arrived together. */
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

/** One look at the processes of the path. */
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

/** Events of a run; each names the child that handles it. */
export type BenchEvent =
  ({ readonly to: 'callers' } & CallersEvent) | ({ readonly to: 'samples' } & SamplesEvent);

export type BenchEffect =
  | { readonly kind: 'schedule'; readonly delayMs: Millis; readonly event: BenchEvent }
  | { readonly kind: 'post'; readonly event: BenchEvent }
  | { readonly kind: 'open-stream'; readonly caller: CallerId }
  | { readonly kind: 'take-sample'; readonly stage: number }
  | { readonly kind: 'watch-client'; readonly stage: number; readonly watch: 'begin' | 'end' }
  | { readonly kind: 'done' };

/** What the callers saw in one stage. */
export interface StageRecord {
  readonly firstTokens: LatencyRecorder;
  readonly gaps: LatencyRecorder;
  /** Tokens that arrived while the stage was measured. */
  tokens: number;
}
