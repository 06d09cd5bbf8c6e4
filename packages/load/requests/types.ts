import type { AnswerCheck } from './answerCheck.js';
import type { Measures } from './measures.js';
import type { Arrival } from '../arrivals/types.js';
import type { RetryKind, Outcome } from '../types.js';
import type { Millis } from '../../core/clock.js';

/** A violated guarantee of the system. */
export interface Violation {
  readonly kind:
    | 'duplicate-token'
    | 'missing-token'
    | 'second-generation'
    | 'unknown-token'
    | 'short-answer'
    | 'long-answer'
    /** The answer of a plain service does not match the request. */
    | 'wrong-answer'
    /** A non-repeatable call was executed more than once. */
    | 'ran-twice'
    /** The verdict was `not-run`, but the request was executed. */
    | 'not-run-but-ran'
    /** The call finished or its verdict was `ran`, but it was not executed. */
    | 'ran-but-not-run';
  readonly requestId: string;
  readonly className: string;
  readonly detail: string;
}

/** Progress and outcome of one request. */
export interface RequestRecord {
  readonly arrival: Arrival;
  readonly check: AnswerCheck;
  readonly firstAt: Millis | 'none';
  readonly lastAt: Millis;
  readonly retryKinds: readonly RetryKind[];
  readonly outcome: Outcome | { readonly kind: 'open' };
}

/** Phase of the run: sending arrivals, waiting for the last answers, or finished. */
export type ArrivalPhase = 'arriving' | 'draining' | 'over';

/** Requests of the run. The requests child alone updates the table and the measures, in place. */
export interface RequestsState {
  readonly phase: ArrivalPhase;
  readonly open: number;
  readonly table: Map<number, RequestRecord>;
  readonly measures: Measures;
  readonly violations: readonly Violation[];
}
