import { LEASE_MARGIN_MS, RENEWAL_SHARE } from './constants.js';
import type { Millis } from '../../core/clock.js';

/**
 * Newest record of a lease. Each record is appended under the condition that it follows the one that its
 * author knows, so that of several daemons that append at a time only one succeeds.
 */
export interface LeaseRecord {
  /** Fencing token, which rises with each new holder. */
  readonly term: number;
  /** Name of the daemon that holds the lease. */
  readonly holder: string;
  /** Identity of its process, which does not outlive it. */
  readonly incarnation: string;
  /** Number of the record among those of this incarnation. */
  readonly sequence: number;
}

/** One instant on both clocks of a machine. */
export interface ClockReading {
  readonly steady: Millis;
  readonly wall: Millis;
}

/** Record that a daemon read, and when it saw it first. */
export interface ObservedLease {
  readonly record: LeaseRecord;
  readonly observedAt: Millis;
}

/** Lease of this daemon. */
export interface OwnLease {
  readonly term: number;
  /** Reading before its newest confirmed record was sent. */
  readonly validFrom: ClockReading;
}

/**
 * Computes for how long a daemon may still act as the holder. It counts from before the record was sent,
 * whereas the others count from when they read it. A suspended machine may leave the time out on its
 * steady clock, so the longer of both times counts; a step of the time of day then ends a lease early.
 *
 * @param own - lease of this daemon; null without one
 * @param now - current reading
 * @param leaseMs - length of a lease
 * @returns the time left; 0 or less when it must not act
 */
export const computeLeaseLeft = (
  own: OwnLease | null,
  now: ClockReading,
  leaseMs: Millis,
): Millis => {
  if (own === null) return 0;
  const { steady, wall } = own.validFrom;
  return leaseMs - Math.max(now.steady - steady, now.wall - wall);
};

/**
 * Reports whether the lease is to be renewed.
 *
 * @param own - lease of this daemon
 * @param now - current reading
 * @param leaseMs - length of a lease
 * @returns true when the newest record is old enough
 */
export const isRenewalDue = (own: OwnLease, now: ClockReading, leaseMs: Millis): boolean =>
  computeLeaseLeft(own, now, leaseMs) <= leaseMs * (1 - RENEWAL_SHARE);

/**
 * Adds what a daemon read to what it knows. The time since a record was first seen does not start anew
 * when the same record is read again.
 *
 * @param known - newest record known; null without one
 * @param record - record that was read; null if there is none
 * @param now - current instant
 * @returns what is known now
 */
export const observeLease = (
  known: ObservedLease | null,
  record: LeaseRecord | null,
  now: Millis,
): ObservedLease | null => {
  if (record === null) return null;
  const isSame =
    known !== null &&
    known.record.incarnation === record.incarnation &&
    known.record.sequence === record.sequence &&
    known.record.term === record.term;
  return isSame ? known : { record, observedAt: now };
};

/**
 * Reports whether a daemon may take the lease over: its holder has not renewed it for so long that it
 * cannot act any more. Also a holder that gave up the lease is waited for, so that two daemons which
 * stop in turn do not pass it to and fro.
 *
 * @param known - newest record known; null without one
 * @param watchedSince - instant from which this daemon would have seen a record
 * @param now - current instant
 * @param leaseMs - length of a lease
 * @returns true when it may append a record of its own
 */
export const hasLapsed = (
  known: ObservedLease | null,
  watchedSince: Millis,
  now: Millis,
  leaseMs: Millis,
): boolean => now - Math.max(watchedSince, known?.observedAt ?? 0) >= leaseMs + LEASE_MARGIN_MS;

/**
 * Computes the term of a new holder. The time of day keeps it above the terms that a store forgot
 * which was restored from an older copy.
 *
 * @param known - newest record known; null without one
 * @param wall - time of day
 * @returns a term above that of the record
 */
export const computeNextTerm = (known: ObservedLease | null, wall: Millis): number =>
  Math.max((known?.record.term ?? 0) + 1, Math.floor(wall));
