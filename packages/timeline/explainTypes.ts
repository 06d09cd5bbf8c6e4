import type { Millis } from '../core/clock.js';
import type { EventName } from '../core/events/catalogue.js';

/** How a request ended, as far as the events tell. */
export type RequestEnd =
  'finished' | 'failed' | 'cancelled' | 'shed' | 'replayed' | 'in-progress' | 'unknown';

/** One choice of an endpoint. */
export interface PlacementStep {
  readonly process: string;
  /** Endpoints that were weighed, each with its score. */
  readonly candidates: readonly string[];
  readonly chosen: string;
  /** What spoke for the chosen endpoint. */
  readonly reason: string;
}

/** One sending of the request to an endpoint daemon. */
export interface Attempt {
  readonly process: string;
  readonly endpoint: string;
  /** Id of the message, to find it in the endpoint daemon's events. */
  readonly sent?: string;
  readonly verdict: string;
  readonly code?: string;
  /** Duration by the sender's own clock; absent while the attempt runs. */
  readonly durationMs?: Millis;
}

/** A time without progress. */
export interface Wait {
  readonly process: string;
  readonly kind: 'queued' | 'stalled';
  readonly cause: string;
  readonly durationMs?: Millis;
}

/** A refusal on the way; the last one is what the caller got when the request failed. */
export interface Refusal {
  readonly process: string;
  readonly name: EventName;
  readonly code: string;
  readonly verdict: string;
  readonly reason: string;
}

/** What happened to one request and why. */
export interface RequestExplanation {
  readonly requestId: string;
  readonly end: RequestEnd;
  readonly placements: readonly PlacementStep[];
  readonly attempts: readonly Attempt[];
  readonly waits: readonly Wait[];
  readonly refusals: readonly Refusal[];
  /** Number of events that name the request. */
  readonly events: number;
}

/** Where a version move stands. */
export type MoveState = 'running' | 'done' | 'taken-back' | 'needs-operator' | 'unknown';

/** One event of a move. */
export interface MoveStep {
  readonly process: string;
  readonly name: EventName;
  readonly share?: number;
  readonly evidence?: string;
  readonly reason?: string;
  readonly offset?: number;
}

/** What happened to one version move and why. */
export interface MoveExplanation {
  readonly move: string;
  readonly state: MoveState;
  /** Offset of the record that ended the move. */
  readonly endedAt?: number;
  readonly lastShare?: number;
  readonly steps: readonly MoveStep[];
}
