import type { Millis } from '../../core/clock.js';
import type { EndpointId, GenerationId, Incarnation } from '../../core/ids.js';
import type { Failure, Verdict } from '../../core/verdict.js';

/** JSON of the engine's `choices` list, which the stream does not interpret. */
export type Chunk = string;

/** Whether chunks are written to the caller as they arrive, or all together at the end. */
export type DeliveryMode = 'incremental' | 'whole';

/** The only endpoint incarnation that can continue a generation. */
export interface GenerationSource {
  readonly generationId: GenerationId;
  readonly endpoint: EndpointId;
  readonly incarnation: Incarnation;
}

/** Phase of a stream; `waiting` means that the link is lost and the next resume is scheduled. */
export type DeliveryPhase = 'idle' | 'receiving' | 'waiting' | 'ended';

/** Received chunks not yet written, newest batch first, so that adding a batch is O(1). */
export interface HeldChunks {
  readonly batch: readonly Chunk[];
  readonly earlier: HeldChunks | null;
}

/** Outage of a stream, which lasts from a lost or stalled link until the next chunk. */
export interface LinkOutage {
  /** Start of the outage; null while a reopened link has not failed again. */
  readonly since: Millis | null;
  /** Number of consecutive resumes without a chunk. */
  readonly resumes: number;
}

/** State of one caller's stream at an entry daemon. */
export interface DeliveryState {
  readonly delivery: DeliveryMode;
  /** A stream that was resumed from a ticket cannot restart with another generation. */
  readonly origin: 'fresh' | 'resumed';
  readonly phase: DeliveryPhase;
  readonly source: GenerationSource | null;
  /** Number of the link to the source, from 0; it identifies late events of an earlier link. */
  readonly link: number;
  /** Next chunk number expected from the generation. */
  readonly next: number;
  /** Next chunk number to write to the caller. */
  readonly written: number;
  readonly held: HeldChunks | null;
  readonly outage: LinkOutage | null;
  /** Merged verdict of all earlier attempts. */
  readonly verdict: Verdict;
}

/** Identity of the link on which an event arrived. */
export interface LinkIdentity {
  readonly generationId: GenerationId;
  readonly link: number;
}

/** Events of a caller's stream. */
export type DeliveryEvent =
  | { readonly kind: 'attempt-started'; readonly source: GenerationSource }
  | ({ readonly kind: 'link-opened' } & LinkIdentity)
  | ({
      readonly kind: 'chunks';
      readonly firstNumber: number;
      readonly chunks: readonly Chunk[];
      readonly now: Millis;
    } & LinkIdentity)
  | ({
      readonly kind: 'finished';
      readonly chunkCount: number;
      readonly usage: string;
      readonly now: Millis;
    } & LinkIdentity)
  | ({ readonly kind: 'failed'; readonly failure: Failure } & LinkIdentity)
  | ({ readonly kind: 'link-lost'; readonly now: Millis } & LinkIdentity)
  | ({ readonly kind: 'link-stalled'; readonly now: Millis } & LinkIdentity)
  | ({ readonly kind: 'resume-timer'; readonly now: Millis } & LinkIdentity)
  | {
      readonly kind: 'endpoint-gone';
      readonly endpoint: EndpointId;
      readonly incarnation: Incarnation;
    }
  /** No further attempt is made. */
  | { readonly kind: 'attempts-ended'; readonly failure: Failure }
  | { readonly kind: 'drain-ended' }
  /** The caller disconnected. */
  | { readonly kind: 'caller-disconnected' };

/** Writes to the caller, requests to an endpoint daemon, and timers. */
export type DeliveryEffect =
  | {
      readonly kind: 'write-chunks';
      readonly source: GenerationSource;
      readonly fromNumber: number;
      readonly chunks: readonly Chunk[];
    }
  | { readonly kind: 'finish'; readonly chunkCount: number; readonly usage: string }
  | { readonly kind: 'fail'; readonly failure: Failure }
  | {
      readonly kind: 'resume';
      readonly source: GenerationSource;
      readonly fromNumber: number;
      readonly link: number;
    }
  | ({ readonly kind: 'schedule-resume'; readonly delayMs: Millis } & LinkIdentity)
  | { readonly kind: 'restart-allowed'; readonly failure: Failure }
  /** The caller resumes at another entry daemon with a ticket that starts at this number. */
  | { readonly kind: 'hand-over'; readonly source: GenerationSource; readonly fromNumber: number }
  /** Closes the link; the generation runs until a resume or the orphan timeout. */
  | { readonly kind: 'detach'; readonly source: GenerationSource }
  | { readonly kind: 'cancel-generation'; readonly source: GenerationSource };
