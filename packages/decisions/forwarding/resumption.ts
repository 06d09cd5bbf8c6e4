import type { Millis } from '../../core/clock.js';

/** What is known of the incarnation of an endpoint that holds the memory of a generation. */
export type HolderState =
  /** It has ended, or nothing is known of it. */
  | { readonly kind: 'lost' }
  | {
      readonly kind: 'known';
      /** Instant at which this daemon learnt that it leaves; null while it does not. */
      readonly leavingAt: Millis | null;
      /** Instant at which this daemon learnt that its data centre is out; null while it is not. */
      readonly dataCentreOutAt: Millis | null;
    };

/** Times for which a generation may still resume at an endpoint that gets no new requests. */
export interface ResumptionLimits {
  /** Time from the instant at which this daemon learnt that the endpoint leaves. */
  readonly leavingMs: Millis;
  /** Time from the instant at which this daemon learnt that the data centre is out. */
  readonly dataCentreOutMs: Millis;
}

const isWithin = (since: Millis | null, limitMs: Millis, now: Millis): boolean =>
  since === null || now - since < limitMs;

/**
 * Reports whether a generation may resume at the endpoint that holds its memory. An endpoint that
 * gets no new requests may still finish what it holds, as long as its work ends in time.
 *
 * @param holder - what is known of the endpoint
 * @param limits - times for which it may still be used
 * @param now - current instant
 * @returns false when the memory is lost, or a request would arrive too late
 */
export const isResumableAt = (
  holder: HolderState,
  { dataCentreOutMs, leavingMs }: ResumptionLimits,
  now: Millis,
): boolean =>
  holder.kind === 'known' &&
  isWithin(holder.leavingAt, leavingMs, now) &&
  isWithin(holder.dataCentreOutAt, dataCentreOutMs, now);
