import type { Millis } from '../../core/clock.js';
import type { Incarnation, InstanceId, Offset } from '../../core/ids.js';

/** Heartbeat that was sent. */
export interface SentHeartbeat {
  readonly sequence: number;
  /** Instant of sending by the clock of the endpoint daemon. */
  readonly at: Millis;
}

/**
 * Status of an endpoint daemon's lease. After a lapse it is `settling` until all heartbeat targets
 * acknowledged a heartbeat, for a limited time; only a `held` lease admits new work.
 */
export type LeaseStatus = 'lapsed' | 'settling' | 'held';

/** State from which an endpoint daemon decides whether it may accept new work. */
export interface LeaseState {
  readonly incarnation: Incarnation;
  /** Newest sent heartbeats, oldest first. */
  readonly sent: readonly SentHeartbeat[];
  /** Instant by the clock of the endpoint daemon at which the lease expires. */
  readonly expiresAt: Millis;
  readonly status: LeaseStatus;
  readonly settlingSince: Millis;
  /** Entry daemons that the newest heartbeat was sent to. */
  readonly targets: readonly InstanceId[];
  /** Entry daemons that acknowledged a heartbeat since the lapse. */
  readonly acknowledgedBy: readonly InstanceId[];
  /** Instant of the last timed event; a long gap indicates a pause of this process. */
  readonly lastEventAt: Millis;
  /** `leaving` after a leave event; the daemon refuses new work from then on. */
  readonly presence: 'staying' | 'leaving';
  readonly dataCentre: 'in' | 'out';
  readonly configurationOffset: Offset;
}

/** Input of a lease decision; the endpoint daemon ticks at least every 125 ms. */
export type LeaseEvent =
  | {
      readonly kind: 'heartbeat-sent';
      readonly sequence: number;
      readonly targets: readonly InstanceId[];
      readonly now: Millis;
    }
  | {
      readonly kind: 'heartbeat-acknowledged';
      readonly sequence: number;
      readonly from: InstanceId;
      readonly now: Millis;
    }
  | {
      readonly kind: 'configuration';
      readonly dataCentre: 'in' | 'out';
      readonly offset: Offset;
    }
  | { readonly kind: 'leave' }
  | { readonly kind: 'tick'; readonly now: Millis };

/** Output of a lease decision. */
export type LeaseEffect =
  | { readonly kind: 'lease-changed'; readonly lease: LeaseStatus }
  /** Starts the drain, which a heartbeat reports without waiting for the next interval. */
  | { readonly kind: 'start-drain' }
  | { readonly kind: 'data-centre-changed'; readonly dataCentre: 'in' | 'out' }
  /** Resets the admission limit to its start value, since the engine may have become cold. */
  | { readonly kind: 'restart-ramp' };
