import type { Millis } from '../../core/clock.js';
import type { EndpointId, Incarnation, RequestId } from '../../core/ids.js';
import type { Failure } from '../../core/verdict.js';

/** Hash of a request's content. */
export type Fingerprint = string;

/** One loss of an endpoint: the same loss is reported by several sources. */
export interface EndpointStart {
  readonly endpoint: EndpointId;
  /** Start identity that crashed, of the engine or of its daemon. */
  readonly incarnation: Incarnation;
}

/** `crash`: the engine ended by itself. `lost`: the endpoint fell silent, for any reason. */
export type LossCause = 'crash' | 'lost';

/** Losses of different endpoint starts in which a fingerprint was in flight. */
export interface Suspect {
  readonly losses: readonly { readonly id: string; readonly cause: LossCause }[];
  readonly since: Millis;
}

/** A fingerprint that is refused until it expires. */
export interface Quarantined {
  readonly expiresAt: Millis;
  /** Whether the record was read back from the control log. */
  readonly record: 'pending' | 'logged';
  readonly askedAt: Millis;
}

/** A request in flight at an endpoint. */
export interface Attempt extends EndpointStart {
  readonly requestId: RequestId;
  readonly fingerprint: Fingerprint;
}

/** A request that waits for its turn to run alone. */
export interface HeldRequest {
  readonly requestId: RequestId;
  readonly fingerprint: Fingerprint;
}

/**
 * What an entry daemon knows of requests that may crash endpoints. The tables are updated in place,
 * since every attempt writes to them; only `suspicion.ts` and its tables do.
 */
export interface SuspicionState {
  readonly attempts: Map<RequestId, Attempt>;
  /** Requests in flight by fingerprint and by endpoint start. */
  readonly byFingerprint: Map<Fingerprint, Set<RequestId>>;
  readonly byEndpoint: Map<string, Set<RequestId>>;
  readonly suspects: Map<Fingerprint, Suspect>;
  readonly quarantined: Map<Fingerprint, Quarantined>;
  /** Fingerprints that ran well, oldest first. */
  readonly tried: Set<Fingerprint>;
  /** The one suspect that runs now. */
  readonly alone: RequestId | null;
  /** Endpoint on which suspects run, while it lives. */
  readonly aloneEndpoint: EndpointId | null;
  readonly held: readonly HeldRequest[];
  readonly recentLosses: readonly { readonly id: string; readonly at: Millis }[];
}

/** Where a request may be placed now. */
export type PlacementRule =
  /** Anywhere, but rather not on the endpoint where a suspect runs. */
  | { readonly kind: 'anywhere'; readonly avoid: EndpointId | null }
  | { readonly kind: 'only'; readonly endpoints: readonly EndpointId[] }
  /** As the only suspect, preferably on the named endpoint. */
  | { readonly kind: 'alone'; readonly endpoint: EndpointId | null }
  | { readonly kind: 'hold' }
  | { readonly kind: 'refuse'; readonly failure: Failure };

/** `refused`: it did not run. `failed`: it ended with an error while the endpoint lived on. */
export type AttemptOutcome = 'well' | 'refused' | 'failed';

/** What an entry daemon learns of attempts and endpoints. */
export type SuspicionEvent =
  | ({ readonly kind: 'attempt-started' } & Attempt)
  | {
      readonly kind: 'attempt-ended';
      readonly requestId: RequestId;
      readonly outcome: AttemptOutcome;
    }
  | ({ readonly kind: 'held' } & HeldRequest)
  | { readonly kind: 'abandoned'; readonly requestId: RequestId }
  | ({
      readonly kind: 'endpoint-lost';
      readonly cause: LossCause;
      /** Fingerprints that the endpoint daemon reports as in flight at the crash. */
      readonly reported: readonly Fingerprint[];
      readonly now: Millis;
    } & EndpointStart)
  | {
      readonly kind: 'quarantine-record';
      readonly fingerprint: Fingerprint;
      readonly expiresAt: Millis;
      readonly now: Millis;
    }
  | { readonly kind: 'tick'; readonly now: Millis };

/** Records to append, and held requests to place or refuse. */
export type SuspicionEffect =
  | {
      readonly kind: 'append-quarantine';
      readonly fingerprint: Fingerprint;
      readonly expiresAt: Millis;
    }
  | { readonly kind: 'suspect-added'; readonly fingerprint: Fingerprint }
  | { readonly kind: 'suspect-cleared'; readonly fingerprint: Fingerprint }
  /** A held request may ask for its placement rule again. */
  | { readonly kind: 'place-held'; readonly requestId: RequestId }
  | {
      readonly kind: 'refuse-held';
      readonly requestId: RequestId;
      readonly failure: Failure;
    };
