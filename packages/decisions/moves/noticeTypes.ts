import type { MoveOutcome } from './types.js';
import type { Millis } from '../../core/clock.js';
import type { Offset } from '../../core/ids.js';

/** End of a move, taken from its terminal record. */
export interface EndedMove {
  readonly name: string;
  /** Offset of the terminal record, which identifies the end. */
  readonly endedAt: Offset;
  readonly outcome: MoveOutcome;
  readonly reason: string;
}

/**
 * Progress of a notice at one daemon. A `sent` notice is kept until the record that informs the
 * other daemons is read back from the log.
 */
export type NoticePhase = 'waiting' | 'sending' | 'sent';

/** Notice of an ended move that the log does not show as sent. */
export interface OpenNotice {
  readonly ended: EndedMove;
  readonly phase: NoticePhase;
  /** Instant at which the next attempt to send or append is due. */
  readonly dueAt: Millis;
  /** Failed attempts to send. */
  readonly failures: number;
}

/** Notices by id that the log does not show as sent. */
export type NoticeState = ReadonlyMap<string, OpenNotice>;

export type NoticeEvent =
  /** A terminal record is in force and the log does not show that operators were notified. */
  | {
      readonly kind: 'ended';
      readonly ended: EndedMove;
      /** Whether this process appended the terminal record. */
      readonly role: 'author' | 'other';
      /** Position of this process in the takeover order, in [0,1). */
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
