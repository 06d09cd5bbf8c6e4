import {
  MAX_REST_MS,
  REST_RETURN_REQUESTS,
  REST_RETURN_STEP_MS,
  REST_RETURN_STEPS,
} from './constants.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';

/** Rest for which an endpoint has asked this daemon, until its return is over. */
export interface StatedRest {
  /** Instant from which it has been resting without a break. */
  readonly since: Millis;
  /** Instant until which it gets no requests. */
  readonly until: Millis;
  /** Instant that it stated; later than `until` if it asked for more than `MAX_REST_MS`. */
  readonly statedUntil: Millis;
  /**
   * Instant at which it answered a trial without a further wish, so that the time beyond `until` counts
   * only while others take the requests; null before.
   */
  readonly triedAt: Millis | null;
}

/** Whether at least half of the endpoints of a service neither leave nor have a wish for rest. */
export type WillingEndpoints = 'enough' | 'too-few';

/** How many requests an endpoint gets that rests or returns. */
export interface RestGate {
  /** Requests that may be sent now; 0 or less when none may be sent. */
  readonly headroom: number;
  /** Earliest instant at which there is headroom. */
  readonly opensAt: Millis;
}

/** Time for which the return of an endpoint lasts after its rest, at most. */
export const REST_RETURN_MS = REST_RETURN_STEPS * REST_RETURN_STEP_MS;

/**
 * Reports whether an endpoint gets no requests because it asked for rest.
 *
 * @param rest - its rest; null without one
 * @param now - current instant
 * @returns false when it has not asked, or its rest is over
 */
export const isResting = (rest: StatedRest | null, now: Millis): boolean =>
  rest !== null && now < rest.until;

/**
 * Starts a rest, or extends it. A shorter wish does not end a longer one, since each of them counts.
 *
 * @param rest - earlier rest; null without one
 * @param restMs - time for which the endpoint wants no requests
 * @param now - time of arrival of the answer that states it
 * @returns the rest
 */
export const addRest = (rest: StatedRest | null, restMs: Millis, now: Millis): StatedRest => ({
  since: rest !== null && isResting(rest, now) ? rest.since : now,
  until: Math.max(rest?.until ?? now, now + Math.min(restMs, MAX_REST_MS)),
  statedUntil: Math.max(rest?.statedUntil ?? now, now + restMs),
  triedAt: rest !== null && now < rest.statedUntil ? rest.triedAt : null,
});

/**
 * Reports whether an endpoint has a wish for rest that has not ended, believed or not.
 *
 * @param rest - its rest; null without one
 * @param now - current instant
 * @returns false when it has not asked, or the time that it stated is over
 */
export const hasWish = (rest: StatedRest | null, now: Millis): boolean =>
  rest !== null && now < rest.statedUntil;

/**
 * Reports whether an endpoint asked for more rest than is believed, and has not answered a trial yet.
 *
 * @param rest - its rest; null without one
 * @returns true when an answer without a further wish counts as that to a trial
 */
export const isUntried = (rest: StatedRest | null): rest is StatedRest =>
  rest !== null && rest.until < rest.statedUntil && rest.triedAt === null;

/**
 * Records that an endpoint answered a trial without a further wish. The answer to a request that was
 * sent before the believed time was over says nothing of the rest.
 *
 * @param rest - its rest; null without one
 * @param sentAt - instant at which the request was sent
 * @param now - time of arrival of the answer
 * @returns the rest
 */
export const recordTrial = (
  rest: StatedRest | null,
  sentAt: Millis,
  now: Millis,
): StatedRest | null =>
  isUntried(rest) && sentAt >= rest.until && hasWish(rest, now) ? { ...rest, triedAt: now } : rest;

/** One request is tried for each `MAX_REST_MS`, so that a rest without end starves no service. */
const openTrial = (
  { statedUntil, until }: StatedRest,
  sentTimes: readonly Millis[],
  now: Millis,
): RestGate => {
  const lastAt = sentTimes.at(-1) ?? -Infinity;
  const opensAt = Math.min(Math.max(until, lastAt + MAX_REST_MS), statedUntil);
  return now < opensAt ? { headroom: 0, opensAt } : { headroom: 1, opensAt: now };
};

/** The return of an endpoint lasts no longer than its rest: a short one has kept few requests waiting. */
const countReturnSteps = ({ since }: StatedRest, endedAt: Millis): number =>
  Math.min(REST_RETURN_STEPS, Math.floor((endedAt - since) / REST_RETURN_STEP_MS));

/** The requests that may be sent in total double in each step. */
const openReturn = (
  rest: StatedRest,
  endedAt: Millis,
  sentTimes: readonly Millis[],
  now: Millis,
): RestGate | null => {
  const step = Math.floor((now - endedAt) / REST_RETURN_STEP_MS);
  if (step >= countReturnSteps(rest, endedAt)) return null;
  const allowed = REST_RETURN_REQUESTS * (2 ** (step + 1) - 1);
  const headroom = allowed - sentTimes.filter((at) => at >= endedAt).length;
  const opensAt = headroom > 0 ? now : endedAt + (step + 1) * REST_RETURN_STEP_MS;
  return { headroom, opensAt };
};

/**
 * The time beyond what is believed counts as long as most endpoints take requests: wrong statements of
 * many would otherwise stop their service.
 */
const openUnbelieved = (
  rest: StatedRest,
  willing: WillingEndpoints,
  sentTimes: readonly Millis[],
  now: Millis,
): RestGate | null => {
  switch (willing) {
    case 'enough':
      return { headroom: 0, opensAt: rest.statedUntil };
    case 'too-few':
      return rest.triedAt === null
        ? openTrial(rest, sentTimes, now)
        : openReturn(rest, Math.max(rest.triedAt, rest.until), sentTimes, now);
    default:
      return assertNever(willing);
  }
};

/**
 * Computes how many requests an endpoint gets that rests or returns: none in its rest, and a growing
 * number after its end. All requests that waited would otherwise reach it at once and take it down
 * again. A service with too few willing endpoints tries it once for each `MAX_REST_MS` beyond what is
 * believed.
 *
 * @param rest - its rest; null without one
 * @param willing - whether its service has enough endpoints without it
 * @param sentTimes - instants of the latest requests of this daemon to it, oldest first
 * @param now - current instant
 * @returns the gate; null when the rest sets no limit
 */
export const openRestGate = (
  rest: StatedRest | null,
  willing: WillingEndpoints,
  sentTimes: readonly Millis[],
  now: Millis,
): RestGate | null => {
  if (rest === null) return null;
  if (isResting(rest, now)) return { headroom: 0, opensAt: rest.until };
  return now < rest.statedUntil
    ? openUnbelieved(rest, willing, sentTimes, now)
    : openReturn(rest, rest.statedUntil, sentTimes, now);
};

/**
 * Reports whether a generation may resume at a resting endpoint that holds its memory. One request in
 * each rest may: the endpoint may get two in it, and without one the generation is lost.
 *
 * @param rest - rest of the endpoint; null without one
 * @param sentTimes - instants of the latest requests of this daemon to it, oldest first
 * @param now - current instant
 * @returns true when it does not rest, or has got no request since it asked for rest
 */
export const isResumptionAllowed = (
  rest: StatedRest | null,
  sentTimes: readonly Millis[],
  now: Millis,
): boolean =>
  rest === null || now >= rest.statedUntil || (sentTimes.at(-1) ?? -Infinity) < rest.since;
