import type { EngineFault } from './faults.js';
import type { CommonEffect } from '../common/routedDaemon.js';
import type { ReplyId } from '../common/exchange.js';
import type { Millis } from '../../core/clock.js';

/** What the engine's health page says. */
export type EngineHealth = 'warming' | 'ready' | 'failing';

/** Whether control orders with an old fencing number are refused. */
export type FencingMode = 'checked' | 'ignored';

/** Names one generation inside the engine and in its first token. */
export type SequenceId = string;

/** Sizes and speeds of the engine; a caller may give any part of them. */
export interface EngineSettings {
  readonly model: string;
  readonly version: string;
  readonly fencing: FencingMode;
  readonly seed: number;
  /** Time of one step of the batch without sequences. */
  readonly stepBaseMs: Millis;
  /** Time that each running sequence adds to a step. */
  readonly stepPerSequenceMs: Millis;
  readonly prefillMsPerToken: Millis;
  /** Prompt tokens that one step computes at the most. */
  readonly prefillTokensPerStep: number;
  /** Tokens of a prompt that its cached prefix saves. */
  readonly cachedPrefixTokens: number;
  readonly memoryTokens: number;
  /** Sequences in one batch at the most. */
  readonly maxRunning: number;
  readonly warmUpMs: Millis;
  /** Sequences that the engine bears when it turns ready. */
  readonly coldConcurrency: number;
  /** Sequences that it bears at the end of the ramp. */
  readonly warmConcurrency: number;
  readonly rampMs: Millis;
  /** Factor of the step time after too much work while cold. */
  readonly collapseFactor: number;
  readonly collapseMs: Millis;
  readonly meanOutputTokens: number;
  /** Largest output when the request names none. */
  readonly maxOutputTokens: number;
  /** Interval of the published load figures. */
  readonly loadLagMs: Millis;
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

/** One generation from its arrival to its end. */
export interface Sequence {
  readonly id: SequenceId;
  readonly requestId: string;
  /** Lower runs first. */
  readonly priority: number;
  /** Order of arrival, for ties of the priority. */
  readonly arrival: number;
  readonly promptTokens: number;
  readonly targetTokens: number;
  /** Why the generation ends when it has all its tokens. */
  readonly finishReason: FinishReason;
  readonly prefix: string;
  readonly version: string;
  readonly generated: number;
  /** Prompt and recomputed tokens that are still to compute. */
  readonly prefillLeft: number;
  /** Prompt tokens found in the cache at the last admission to the batch. */
  readonly cachedTokens: number;
  /** Instant of the preemption whose stall has not ended. */
  readonly stalledSince: Millis | 'not-stalled';
}

export type FinishReason = 'stop' | 'length';

/** What a caller asks the engine to generate. */
export interface Submission {
  readonly sequence: SequenceId;
  readonly requestId: string;
  readonly priority: number;
  readonly promptTokens: number;
  readonly targetTokens: number;
  readonly finishReason: FinishReason;
  readonly prefix: string;
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

export interface EmittedToken {
  readonly sequence: SequenceId;
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
  /** Ends the connection of a generation that the engine lost. */
  | { readonly kind: 'break'; readonly sequence: SequenceId };
