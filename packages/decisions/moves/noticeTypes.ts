import type { MoveOutcome } from './types.js';
import type { Millis } from '../../core/clock.js';
import type { Offset } from '../../core/ids.js';

/** The end of a move, as its terminal record tells it. */
export interface EndedMove {
  readonly name: string;
  /** Offset of the terminal record; names the end for good. */
  readonly endedAt: Offset;
  readonly outcome: MoveOutcome;
  readonly reason: string;
}

/**
 * Progress of a notice at one daemon. `sent` ones wait until the log shows the record that tells the
 * others.
 */
export type NoticePhase = 'waiting' | 'sending' | 'sent';

export interface OpenNotice {
  readonly ended: EndedMove;
  readonly phase: NoticePhase;
  /** When the next attempt to send or to append is due. */
  readonly dueAt: Millis;
  readonly failures: number;
}

/** Notices that no record in the log shows as sent, by their id. */
export type NoticeState = ReadonlyMap<string, OpenNotice>;

export type NoticeEvent =
  /** A terminal record is in force and nothing in the log tells that operators were notified. */
  | {
      readonly kind: 'ended';
      readonly ended: EndedMove;
      /** Whether this process appended the terminal record. */
      readonly role: 'author' | 'other';
      /** Place of this process in the order of take-over, in [0,1). */
      readonly order: number;
      readonly now: Millis;
    }
  /** The log shows that operators were notified. */
  | { readonly kind: 'recorded'; readonly ended: EndedMove }
  | { readonly kind: 'sent'; readonly id: string; readonly now: Millis }
  | { readonly kind: 'failed'; readonly id: string; readonly now: Millis }
  | { readonly kind: 'tick'; readonly now: Millis };

export type NoticeEffect =
  | { readonly kind: 'send-notice'; readonly id: string; readonly ended: EndedMove }
  | { readonly kind: 'append-notified'; readonly ended: EndedMove };
