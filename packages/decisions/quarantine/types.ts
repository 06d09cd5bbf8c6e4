import type { CrashEvidence } from './crashEvidence.js';
import type { Millis } from '../../core/clock.js';
import type { EndpointId, Incarnation, RequestId } from '../../core/ids.js';
import type { Failure } from '../../core/verdict.js';

/** Hash of a request's content; requests with the same content share it. */
export type Fingerprint = string;

/** Fingerprints of the content of a request that is to be placed. */
export interface RequestContent {
  readonly whole: Fingerprint;
  /** Fingerprints of the prompt parts that other requests can have, too. */
  readonly parts: readonly Fingerprint[];
}

/** Fingerprints of the content of one request that may be the cause of a crash. */
export interface ContentFingerprints {
  /** Fingerprint of the whole content; null when it is not suspected. */
  readonly whole: Fingerprint | null;
  /** Fingerprints of the prompt parts that other requests can have, too. */
  readonly parts: readonly Fingerprint[];
}

/**
 * Progress of a request when its endpoint crashed. An endpoint that crashes on the content of a
 * request does so as it begins the answer, so a request that was beginning is a stronger suspect
 * than one that waited.
 */
export type CrashProgress = 'beginning' | 'waiting';

/** A request that an endpoint had and had not answered when it crashed. */
export interface CrashReport {
  /** Identity of the endpoint incarnation. */
  readonly endpoint: string;
  readonly progress: CrashProgress;
  readonly at: Millis;
  /** Content of the request that may be the cause. */
  readonly content: ContentFingerprints;
}

/**
 * One start of an endpoint. It identifies a loss, which is counted once although several sources
 * report it.
 */
export interface EndpointIncarnation {
  readonly endpoint: EndpointId;
  /** Incarnation of the engine or of its daemon. */
  readonly incarnation: Incarnation;
}

/** `crash`: the engine exited on its own. `lost`: the endpoint became silent for any reason. */
export type LossCause = 'crash' | 'lost';

/** A fingerprint that was in flight when endpoints were lost. */
export interface Suspect {
  /** One entry for each endpoint incarnation; `id` is its formatted identity. */
  readonly losses: readonly { readonly id: string; readonly cause: LossCause }[];
  /** Instant of the newest loss. */
  readonly since: Millis;
}

/** Quarantine of a fingerprint, whose requests are refused until it expires. */
export interface QuarantineEntry {
  readonly expiresAt: Millis;
  /** `logged` after the quarantine record was read back from the control log. */
  readonly record: 'pending' | 'logged';
  /** Instant at which the append of the record was last requested. */
  readonly appendRequestedAt: Millis;
}

/** A request in flight at an endpoint. */
export interface Attempt extends EndpointIncarnation {
  readonly requestId: RequestId;
  readonly fingerprint: Fingerprint;
  /** Fingerprints of the prompt parts that other requests can have, too. */
  readonly parts: readonly Fingerprint[];
}

/** A request of a suspect that waits until it may run in isolation. */
export interface HeldRequest {
  readonly requestId: RequestId;
  readonly fingerprint: Fingerprint;
}

/**
 * State of an entry daemon about requests that may crash endpoints. The tables are updated in
 * place, since every attempt writes to them; only `suspicion.ts` and `inFlight.ts` do so.
 */
export interface SuspicionState {
  readonly attempts: Map<RequestId, Attempt>;
  /** Requests in flight by fingerprint. */
  readonly byFingerprint: Map<Fingerprint, Set<RequestId>>;
  /** Requests in flight by the formatted identity of the endpoint incarnation. */
  readonly byEndpoint: Map<string, Set<RequestId>>;
  /** Requests in flight whose answer has begun. */
  readonly answered: Set<RequestId>;
  readonly suspects: Map<Fingerprint, Suspect>;
  /** Crashes and answers by prompt part. */
  readonly partEvidence: CrashEvidence;
  /** Those quarantined fingerprints that stand for several prompt parts. */
  readonly partSets: Set<Fingerprint>;
  /** Quarantined contents, prompt parts and sets of them. */
  readonly quarantined: Map<Fingerprint, QuarantineEntry>;
  /** Fingerprints of which a request completed, least recently completed first. */
  readonly completed: Set<Fingerprint>;
  /** Request of a suspect that is in flight; at most one runs at a time. */
  readonly isolatedRequest: RequestId | null;
  /** Endpoint on which suspects run, until it is lost. */
  readonly isolationEndpoint: EndpointId | null;
  /** Requests that wait to run in isolation, in order of arrival. */
  readonly held: readonly HeldRequest[];
  /** Losses with the cause `lost` within the correlation window. */
  readonly recentLosses: readonly { readonly id: string; readonly at: Millis }[];
}

/** Where a request may be placed now. */
export type PlacementRule =
  /** On any endpoint, preferably not on `avoid`, where a suspect is running. */
  | { readonly kind: 'anywhere'; readonly avoid: EndpointId | null }
  /** Only on endpoints that already run the fingerprint. */
  | { readonly kind: 'only'; readonly endpoints: readonly EndpointId[] }
  /** As the only running suspect, preferably on the named endpoint. */
  | { readonly kind: 'isolated'; readonly endpoint: EndpointId | null }
  /** Waits until it may run in isolation. */
  | { readonly kind: 'hold' }
  | { readonly kind: 'refuse'; readonly failure: Failure };

/**
 * `completed`: it completed. `refused`: it did not run. `failed`: it ended with an error, but the
 * endpoint stayed up.
 */
export type AttemptOutcome = 'completed' | 'refused' | 'failed';

/** Input of a suspicion decision: attempts, losses, quarantine records and ticks. */
export type SuspicionEvent =
  | ({ readonly kind: 'attempt-started' } & Attempt)
  | {
      readonly kind: 'attempt-ended';
      readonly requestId: RequestId;
      readonly outcome: AttemptOutcome;
    }
  /** The endpoint began to answer a request. */
  | {
      readonly kind: 'attempt-answered';
      readonly requestId: RequestId;
      readonly now: Millis;
    }
  | ({ readonly kind: 'held' } & HeldRequest)
  /** A held request ended before it was placed. */
  | { readonly kind: 'abandoned'; readonly requestId: RequestId }
  | ({
      readonly kind: 'endpoint-lost';
      readonly cause: LossCause;
      /** Fingerprints that the endpoint daemon reports as in flight at the crash. */
      readonly reported: readonly Fingerprint[];
      readonly now: Millis;
    } & EndpointIncarnation)
  /** A quarantine record was read from the control log. */
  | {
      readonly kind: 'quarantine-record';
      readonly fingerprint: Fingerprint;
      readonly expiresAt: Millis;
      readonly now: Millis;
    }
  | { readonly kind: 'tick'; readonly now: Millis };

/** Output of a suspicion decision: records to append, and held requests to place or refuse. */
export type SuspicionEffect =
  | {
      readonly kind: 'append-quarantine';
      readonly fingerprint: Fingerprint;
      readonly expiresAt: Millis;
    }
  | { readonly kind: 'suspect-added'; readonly fingerprint: Fingerprint }
  | { readonly kind: 'suspect-cleared'; readonly fingerprint: Fingerprint }
  /** A held request is to be placed; its caller queries the placement rule again. */
  | { readonly kind: 'place-held'; readonly requestId: RequestId }
  | {
      readonly kind: 'refuse-held';
      readonly requestId: RequestId;
      readonly failure: Failure;
    };
