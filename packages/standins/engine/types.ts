import type { EngineFault } from './faults.js';
import type { CommonEffect } from '../common/routedDaemon.js';
import type { ReplyId } from '../common/pendingRequests.js';
import type { Millis } from '../../core/clock.js';

/** Status that the engine reports on `/health`. */
export type EngineHealth = 'warming' | 'ready' | 'failing';

/** Whether control orders with a stale fencing number are refused. */
export type FencingMode = 'checked' | 'ignored';

/** Identifies one generation inside the engine and in its first token. */
export type SequenceId = string;

/** Capacity, step times and delays of the simulated engine. */
export interface EngineSettings {
  readonly model: string;
  readonly version: string;
  readonly fencing: FencingMode;
  readonly seed: number;
  /** Duration of a step of an empty batch. */
  readonly stepBaseMs: Millis;
  /** Time that each running sequence adds to a step. */
  readonly stepPerSequenceMs: Millis;
  /** Time that each prompt token adds to the step that computes it. */
  readonly prefillMsPerToken: Millis;
  /** Largest number of prompt tokens that one step computes. */
  readonly prefillTokensPerStep: number;
  /** Largest number of prompt tokens that a cached prefix covers. */
  readonly cachedPrefixTokens: number;
  /** Memory for sequences and cached prefixes, in tokens. */
  readonly memoryTokens: number;
  /** Largest number of sequences in the batch. */
  readonly maxRunning: number;
  /** Time from the start of the engine until it is ready. */
  readonly warmUpMs: Millis;
  /** Sequences that the engine sustains when it becomes ready. */
  readonly coldConcurrency: number;
  /** Sequences that the engine sustains at the end of the ramp. */
  readonly warmConcurrency: number;
  /** Time after the warm-up during which the concurrency limit grows. */
  readonly rampMs: Millis;
  /** Factor by which steps take longer after the limit of a cold engine was exceeded. */
  readonly collapseFactor: number;
  /** Time for which steps take longer. */
  readonly collapseMs: Millis;
  /** Mean output length of requests that don't specify a length. */
  readonly meanOutputTokens: number;
  /** Largest output of a request without a limit. */
  readonly maxOutputTokens: number;
  /** Interval at which the load figures are updated. */
  readonly loadLagMs: Millis;
  /** Age at which a cache event is published. */
  readonly cacheEventLagMs: Millis;
  /** Share of cache events that are never published. */
  readonly cacheEventLossShare: number;
  /** Time to load a version or an adapter. */
  readonly loadVersionMs: Millis;
}

export interface EngineOptions extends Partial<EngineSettings> {
  /** Port on 127.0.0.1; 0 picks a free one. */
  readonly port?: number;
}

/** One generation, from its arrival to its end. */
export interface Sequence {
  readonly id: SequenceId;
  readonly requestId: string;
  /** Sequences with a lower value run first. */
  readonly priority: number;
  /** Order of arrival; decides between sequences of equal priority. */
  readonly arrival: number;
  readonly promptTokens: number;
  readonly targetTokens: number;
  /** Finish reason when the sequence reaches `targetTokens`. */
  readonly finishReason: FinishReason;
  /** Hash of the prompt's prefix. */
  readonly prefix: string;
  /** Version that the engine served when the sequence arrived. */
  readonly version: string;
  /** Number of output tokens so far. */
  readonly generated: number;
  /** Prompt tokens, and output tokens after a preemption, that are still to be computed. */
  readonly prefillLeft: number;
  /** Prompt tokens found in the cache at the last admission to the batch. */
  readonly cachedTokens: number;
  /** Instant of the preemption after which the sequence has not yet produced a token. */
  readonly stalledSince: Millis | 'not-stalled';
}

export type FinishReason = 'stop' | 'length';

/** Generation that a caller requests. */
export interface Submission {
  readonly sequence: SequenceId;
  readonly requestId: string;
  readonly priority: number;
  readonly promptTokens: number;
  readonly targetTokens: number;
  readonly finishReason: FinishReason;
  /** Hash of the prompt's prefix. */
  readonly prefix: string;
  /** Prompt, for faults that depend on its content. */
  readonly content: string;
  readonly route: string | undefined;
  readonly className: string | undefined;
}

export type SchedulerEvent =
  | { readonly kind: 'submit'; readonly submission: Submission }
  | { readonly kind: 'cancel'; readonly sequence: SequenceId }
  | { readonly kind: 'step-due'; readonly step: number }
  | { readonly kind: 'apply-fault'; readonly fault: EngineFault }
  | { readonly kind: 'set-version'; readonly version: string }
  | { readonly kind: 'publish-load' };

export type OrderKind = 'load-version' | 'load-adapter' | 'change-role';

export interface ControlOrder {
  readonly kind: OrderKind;
  readonly fencing: number;
  readonly version?: string | undefined;
  readonly adapter?: string | undefined;
  readonly role?: string | undefined;
}

export interface ControlEvent {
  readonly kind: 'order';
  readonly reply: ReplyId;
  readonly order: ControlOrder;
}

export type EngineEvent =
  ({ readonly to: 'scheduler' } & SchedulerEvent) | ({ readonly to: 'control' } & ControlEvent);

/** Token that a step produced. */
export interface EmittedToken {
  readonly sequence: SequenceId;
  /** Index in the output, from 0. */
  readonly index: number;
}

export interface Usage {
  readonly promptTokens: number;
  readonly completionTokens: number;
  readonly cachedTokens: number;
}

export type EngineEffect =
  | CommonEffect<EngineEvent>
  | { readonly kind: 'emit'; readonly tokens: readonly EmittedToken[] }
  | {
      readonly kind: 'finish';
      readonly sequence: SequenceId;
      readonly reason: FinishReason;
      readonly usage: Usage;
    }
  | {
      readonly kind: 'refuse';
      readonly sequence: SequenceId;
      readonly status: number;
      readonly message: string;
    }
  /** Closes the connection of a generation that the engine lost. */
  | { readonly kind: 'break'; readonly sequence: SequenceId };
