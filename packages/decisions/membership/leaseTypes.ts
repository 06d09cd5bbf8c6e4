import type { Millis } from '../../core/clock.js';
import type { Incarnation, InstanceId, Offset } from '../../core/ids.js';

/** One heartbeat that was sent, by the own clock. */
export interface SentHeartbeat {
  readonly sequence: number;
  readonly at: Millis;
}

/** Lease of an endpoint daemon; while it settles, it waits for the answers of more entry daemons. */
export type LeaseStatus = 'lapsed' | 'settling' | 'held';

/** What an endpoint daemon knows of its own right to accept work. */
export interface LeaseState {
  readonly incarnation: Incarnation;
  readonly sent: readonly SentHeartbeat[];
  /** Instant by the own clock until which new work may be accepted. */
  readonly until: Millis;
  readonly lease: LeaseStatus;
  readonly settlesSince: Millis;
  /** Entry daemons that the newest heartbeat went to. */
  readonly targets: readonly InstanceId[];
  /** Entry daemons that answered since the lapse. */
  readonly heard: readonly InstanceId[];
  /** Instant of the last event; a long gap is a pause of this process. */
  readonly seenAt: Millis;
  readonly stay: 'staying' | 'leaving';
  readonly dataCentre: 'in' | 'out';
  readonly configurationOffset: Offset;
}

/** What happens to an endpoint daemon; it ticks at least every 125 ms. */
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

/** Changes that the endpoint daemon acts on. */
export type LeaseEffect =
  | { readonly kind: 'lease-changed'; readonly lease: LeaseStatus }
  /** Starts draining: the next heartbeat says so at once. */
  | { readonly kind: 'start-drain' }
  | { readonly kind: 'data-centre-changed'; readonly dataCentre: 'in' | 'out' }
  /** Sets the admission limit back to its start value, since the endpoint may have turned cold. */
  | { readonly kind: 'restart-ramp' };
