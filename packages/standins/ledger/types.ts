import type { CommonEffect } from '../common/routedDaemon.js';
import type { Answer, ReplyId } from '../common/pendingRequests.js';
import type { Standin } from '../common/types.js';
import type { Millis } from '../../core/clock.js';

/** Route whose calls have an effect each time they are executed. */
export type ExecutionRoute = 'sweeps' | 'pickups' | 'credits';

/** One call of the service. */
export type LedgerCall =
  | { readonly kind: 'balance'; readonly account: string }
  | {
      readonly kind: 'execute';
      readonly route: ExecutionRoute;
      readonly key: string;
      readonly amount: number;
    };

/** Fault of the next `calls` calls. */
export type CallFault =
  | { readonly kind: 'delay-before'; readonly delayMs: Millis; readonly calls: number }
  | { readonly kind: 'delay-after'; readonly delayMs: Millis; readonly calls: number }
  | { readonly kind: 'drop-answer'; readonly calls: number }
  | { readonly kind: 'fail-before'; readonly calls: number };

/** Fault of the whole service; `clear` removes the faults of calls. */
export type ServiceFault =
  | { readonly kind: 'freeze'; readonly forMs: Millis }
  | { readonly kind: 'crash'; readonly downMs: Millis }
  | { readonly kind: 'clear' };

export type LedgerFault = CallFault | ServiceFault;

export type LedgerEvent = { readonly to: 'service' } & (
  | { readonly kind: 'call'; readonly reply: ReplyId; readonly call: LedgerCall }
  | {
      readonly kind: 'execute-due';
      readonly reply: ReplyId;
      readonly call: LedgerCall;
      /** Identity of the process that received the call; a later process doesn't execute it. */
      readonly startId: string;
      readonly faults: readonly CallFault[];
    }
  | { readonly kind: 'answer-due'; readonly reply: ReplyId; readonly answer: Answer }
  | { readonly kind: 'apply-fault'; readonly fault: LedgerFault }
);

export type LedgerEffect = CommonEffect<LedgerEvent>;

export interface LedgerOptions {
  /** Port of the service on 127.0.0.1; 0 picks a free one. */
  readonly port?: number;
  /** Port of the inspection routes on 127.0.0.1; 0 picks a free one. */
  readonly inspectionPort?: number;
  /** Duration of a call without faults. */
  readonly callMs?: Millis;
}

export interface LedgerStandin extends Standin {
  /** Base URL of the inspection routes, which no fault affects. */
  readonly inspectionUrl: string;
}
