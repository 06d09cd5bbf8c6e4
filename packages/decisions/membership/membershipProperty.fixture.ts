import fc from 'fast-check';
import { runMembershipChange } from './membershipSimulation.fixture.js';
import { decideMembership, initMembership } from './membership.js';
import type { MembershipEvent, ReportedPhase } from './types.js';

const MAX_SEED = 2 ** 31 - 1;

/**
 * Builds the property of P3 or P8: no new work is accepted later than 3 s after the change.
 *
 * @param change - change in each run
 * @returns a fast-check property that throws an error with the violation
 */
export const buildChangeProperty = (change: 'endpoint-leaves' | 'data-centre-out') =>
  fc.property(fc.nat(MAX_SEED), (seed) => {
    const { acceptedLate, acceptedBefore } = runMembershipChange(seed, change, 'both');
    if (acceptedLate > 0) throw new Error(`${acceptedLate.toString()} requests accepted after 3 s`);
    if (acceptedBefore === 0) throw new Error('no request was accepted before the change');
  });

/**
 * Builds a heartbeat of the endpoint `e`.
 *
 * @param incarnation - incarnation of its daemon
 * @param sequence - sequence number of the heartbeat
 * @param phase - reported phase
 * @param now - instant of arrival
 * @returns the event
 */
export const buildHeartbeat = (
  incarnation: string,
  sequence: number,
  phase: ReportedPhase,
  now: number,
): MembershipEvent<null> => {
  const heartbeat = { endpoint: 'e', dataCentre: 'd', incarnation, sequence, phase, report: null };
  return { kind: 'heartbeat', heartbeat, now };
};

/**
 * Builds the property that the newest heartbeat takes effect in any order of arrival.
 *
 * @returns a fast-check property
 */
export const buildOrderProperty = () => {
  const anyOrder = fc.shuffledSubarray(
    ['i1', 'i2'].flatMap((incarnation) => [1, 2, 3].map((sequence) => ({ incarnation, sequence }))),
    { minLength: 1 },
  );
  return fc.property(anyOrder, (order) => {
    const events = order.map(({ incarnation, sequence }) =>
      buildHeartbeat(incarnation, sequence, sequence === 3 ? 'draining' : 'serving', 0),
    );
    const newest = order.reduce((best, heartbeat) => {
      const isNewer = `${heartbeat.incarnation}${heartbeat.sequence.toString()}`;
      return isNewer > `${best.incarnation}${best.sequence.toString()}` ? heartbeat : best;
    });
    const state = events.reduce(
      (current, event) => decideMembership(current, event).state,
      initMembership<null>(),
    );
    const known = state.endpoints.get('e')?.newest;
    return known?.incarnation === newest.incarnation && known.sequence === newest.sequence;
  });
};
