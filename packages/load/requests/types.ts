import type { AnswerCheck } from './answerCheck.js';
import type { Measures } from './measures.js';
import type { Arrival } from '../arrivals/types.js';
import type { RetryKind, Outcome } from '../types.js';
import type { Millis } from '../../core/clock.js';

/** A promise of the system that an answer broke. */
export interface Violation {
  readonly kind:
    | 'duplicate-token'
    | 'missing-token'
    | 'second-generation'
    | 'unknown-token'
    | 'short-answer'
    | 'long-answer'
    /** The answer belongs to another request. */
    | 'wrong-answer'
    /** A non-repeatable call ran more than once. */
    | 'ran-twice'
    /** The verdict was `not-run`, but the call ran. */
    | 'not-run-but-ran'
    /** The verdict was `ran`, but the call did not run. */
    | 'ran-but-not-run';
  readonly requestId: string;
  readonly className: string;
  readonly detail: string;
}

/** One request from its sending to its end. */
export interface RequestRecord {
  readonly arrival: Arrival;
  readonly check: AnswerCheck;
  readonly firstAt: Millis | 'none';
  readonly lastAt: Millis;
  readonly calledAgain: readonly RetryKind[];
  readonly outcome: Outcome | { readonly kind: 'open' };
}

/** Whether more arrivals will come. */
export type ArrivalPhase = 'arriving' | 'draining' | 'over';

/** Requests of the run; the table and the measures are updated in place by this child alone. */
export interface RequestsState {
  readonly phase: ArrivalPhase;
  readonly open: number;
  readonly table: Map<number, RequestRecord>;
  readonly measures: Measures;
  readonly violations: readonly Violation[];
}
