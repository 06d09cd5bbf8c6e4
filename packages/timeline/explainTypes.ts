import type { Millis } from '../core/clock.js';
import type { EventName } from '../core/events/catalogue.js';

/** How a request ended according to its events. */
export type RequestEnd =
  'finished' | 'failed' | 'cancelled' | 'shed' | 'replayed' | 'in-progress' | 'unknown';

/** One placement decision for a request. */
export interface PlacementStep {
  readonly process: string;
  /** Endpoints that were considered, each with its score. */
  readonly candidates: readonly string[];
  readonly chosen: string;
  /** Why the endpoint was chosen. */
  readonly reason: string;
}

/** One attempt to run the request at an endpoint daemon. */
export interface Attempt {
  readonly process: string;
  readonly endpoint: string;
  /** Id of the sent message, which the endpoint daemon's events refer to. */
  readonly sent?: string;
  readonly verdict: string;
  readonly code?: string;
  /** Duration by the sender's clock; absent while the attempt is in progress. */
  readonly durationMs?: Millis;
}

/** A period in which the request made no progress. */
export interface Wait {
  readonly process: string;
  readonly kind: 'queued' | 'stalled';
  readonly cause: string;
  readonly durationMs?: Millis;
}

/** A refusal of the request; if the request failed, the caller received the last one. */
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
  /** Number of events that refer to the request. */
  readonly events: number;
}

/** State of a version move. */
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
