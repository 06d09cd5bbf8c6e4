import type { IncomingMessage } from 'node:http';
import type { BodyFraming } from './bodyFraming.js';
import type { RoomResult } from './requestRoom.js';

/** Where a connection is in the series of its requests. */
export type PacingPhase =
  /** Bytes of the next head are handed on as they arrive. */
  | { readonly kind: 'head' }
  /** The first `end` bytes that are held complete a head, which waits for memory. */
  | { readonly kind: 'asking'; readonly end: number; result: RoomResult | null; cancel: () => void }
  /** The body is handed on, up to its length or the end of its chunks. */
  | {
      readonly kind: 'body';
      readonly incoming: IncomingMessage;
      readonly framing: BodyFraming;
      /** Bytes of the body so far, without their framing. */
      bytes: number;
    }
  /** The request has been read whole, and its answer is due. */
  | { readonly kind: 'answer' }
  /** The event loop reads once, so that the end of the connection is noticed before the next head. */
  | { readonly kind: 'between' }
  /** Nothing more is handed on; what arrives is dropped. */
  | { readonly kind: 'ended' };

export type AskingPhase = Extract<PacingPhase, { kind: 'asking' }>;
export type BodyPhase = Extract<PacingPhase, { kind: 'body' }>;

export const HEAD: PacingPhase = { kind: 'head' };
export const ANSWER: PacingPhase = { kind: 'answer' };
export const BETWEEN: PacingPhase = { kind: 'between' };
export const ENDED: PacingPhase = { kind: 'ended' };
