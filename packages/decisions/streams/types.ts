import type { Millis } from '../../core/clock.js';
import type { EndpointId, GenerationId, Incarnation } from '../../core/ids.js';
import type { Failure, Verdict } from '../../core/verdict.js';

/** JSON of the engine's choices list, opaque to the stream. */
export type Chunk = string;

/** Whether chunks are shown as they arrive, or only together at the end. */
export type DeliveryMode = 'incremental' | 'whole';

/** The one place that can continue a generation. */
export interface GenerationSource {
  readonly generationId: GenerationId;
  readonly endpoint: EndpointId;
  readonly incarnation: Incarnation;
}

/** `waiting`: the link is lost and the next resume is scheduled. */
export type DeliveryPhase = 'idle' | 'receiving' | 'waiting' | 'ended';

/** Chunks received and not yet shown, newest batch first, so that adding one batch is O(1). */
export interface HeldChunks {
  readonly batch: readonly Chunk[];
  readonly earlier: HeldChunks | null;
}

/** Time without progress, and the resumes in a row that brought none. */
export interface LinkTrouble {
  readonly since: Millis | null;
  readonly resumes: number;
}

/** One caller's stream at an entry daemon. */
export interface DeliveryState {
  readonly delivery: DeliveryMode;
  /** A stream resumed from a ticket belongs to its generation for good. */
  readonly origin: 'fresh' | 'resumed';
  readonly phase: DeliveryPhase;
  readonly source: GenerationSource | null;
  /** Number of the link to the source, from 0; tells late events of an earlier link apart. */
  readonly link: number;
  /** Next chunk number expected from the generation. */
  readonly next: number;
  /** Next chunk number to show. */
  readonly shown: number;
  readonly held: HeldChunks | null;
  readonly trouble: LinkTrouble | null;
  /** What is known of all earlier attempts together. */
  readonly verdict: Verdict;
}

/** Identity of the link on which an event arrived. */
export interface LinkIdentity {
  readonly generationId: GenerationId;
  readonly link: number;
}

/** What happens to a caller's stream. */
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
  | { readonly kind: 'gave-up'; readonly failure: Failure }
  | { readonly kind: 'drain-ended' }
  | { readonly kind: 'caller-gone' };

/** What the entry daemon writes to the caller or asks of an endpoint daemon. */
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
  /** The caller goes on at another entry daemon from the ticket of this number. */
  | { readonly kind: 'hand-over'; readonly source: GenerationSource; readonly fromNumber: number }
  /** Closes the link and leaves the generation to a resume or to the orphan timeout. */
  | { readonly kind: 'detach'; readonly source: GenerationSource }
  | { readonly kind: 'cancel-generation'; readonly source: GenerationSource };
