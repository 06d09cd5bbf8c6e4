import type { CommonEffect } from '../common/routedDaemon.js';
import type { Answer, ReplyId } from '../common/exchange.js';
import type { Standin } from '../common/types.js';
import type { Millis } from '../../core/clock.js';

/** Route whose calls have an effect each time they run. */
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

/** Fault of the calls to come; it stays for a number of calls. */
export type CallFault =
  | { readonly kind: 'delay-before'; readonly delayMs: Millis; readonly calls: number }
  | { readonly kind: 'delay-after'; readonly delayMs: Millis; readonly calls: number }
  | { readonly kind: 'drop-answer'; readonly calls: number }
  | { readonly kind: 'fail-before'; readonly calls: number };

/** Fault of the whole service. */
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
      /** Process that took the call; a later process does not run it. */
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
  /** Port of the inspection pages. */
  readonly inspectionPort?: number;
  /** Usual time of one call. */
  readonly callMs?: Millis;
}

export interface LedgerStandin extends Standin {
  /** Base address of the inspection pages, which no fault reaches. */
  readonly inspectionUrl: string;
}
