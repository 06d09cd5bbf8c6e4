import {
  CLOSE_SLACK_MS,
  LATE_ARRIVALS,
  PROPAGATION_MS,
  REST_ARRIVALS,
  REST_SLACK_MS,
} from './constants.js';
import type { ArrivalRecord, CallRecord, Finding, Hindrance, Observations } from './types.js';
import type { Millis } from '../core/clock.js';

/** Process that sent a request to a worker, and when its caller sent it. */
interface Origin {
  readonly gateway: number;
  readonly incarnation: number;
  readonly sentAt: Millis;
}

/** An arrival whose caller is known. */
interface TracedArrival {
  readonly arrival: ArrivalRecord;
  readonly origin: Origin;
}

type ArrivalObservations = Pick<
  Observations,
  'arrivals' | 'calls' | 'hindrances' | 'hostileGroups'
>;

/** Status codes of refusals, whose heads bear no signature. */
const HTTP_UNAVAILABLE = 503;

/**
 * Returns the part of a request id that names a group of callers.
 *
 * @param requestId - id of a request
 * @returns the part before the first hyphen
 */
export const getIdPrefix = (requestId: string): string => requestId.split('-', 1)[0] ?? '';

const formatMs = (ms: Millis): string => `${Math.round(ms).toString()} ms`;

const isGatewayHindered = (
  hindrances: readonly Hindrance[],
  gateway: number,
  from: Millis,
  until: Millis,
): boolean =>
  hindrances.some(
    (each) =>
      each.subject.kind === 'gateway' &&
      each.subject.gateway === gateway &&
      each.from <= until &&
      each.until >= from,
  );

const isSlotHindered = (
  hindrances: readonly Hindrance[],
  slot: number,
  from: Millis,
  until: Millis,
): boolean =>
  hindrances.some(
    (each) =>
      each.subject.kind === 'slot' &&
      each.subject.slot === slot &&
      each.from <= until &&
      each.until >= from,
  );

/** Groups arrivals by the worker and by the process of the gateway that sent them. */
const collectBySender = ({
  arrivals,
  calls,
  hostileGroups,
}: ArrivalObservations): ReadonlyMap<string, readonly TracedArrival[]> => {
  const callOrigins = new Map<string, Origin>(calls.map((call) => [call.id, call]));
  const groupOrigins = new Map<string, Origin>(
    hostileGroups.map((group) => [group.idPrefix, group]),
  );
  const bySender = new Map<string, TracedArrival[]>();
  for (const arrival of arrivals) {
    const { requestId, workerId } = arrival;
    const origin = callOrigins.get(requestId) ?? groupOrigins.get(getIdPrefix(requestId));
    if (origin === undefined) continue;
    const sender = `${workerId} ${origin.gateway.toString()} ${origin.incarnation.toString()}`;
    const traced = bySender.get(sender) ?? [];
    traced.push({ arrival, origin });
    bySender.set(sender, traced);
  }
  return bySender;
};

/**
 * Finds when a gateway first passed on an answer in which the worker states that it leaves. The answer
 * that the caller gets is that to the last arrival of its request.
 */
const findPassedOn = (
  traced: readonly TracedArrival[],
  calls: ReadonlyMap<string, CallRecord>,
  lastArrivals: ReadonlyMap<string, ArrivalRecord>,
): Millis => {
  const instants = traced.flatMap(({ arrival }) => {
    const head = calls.get(arrival.requestId)?.head ?? null;
    const isPassedOn =
      arrival.answer?.leaving === 'said' &&
      lastArrivals.get(arrival.requestId) === arrival &&
      head !== null &&
      (head.signature !== null || head.status === HTTP_UNAVAILABLE);
    return isPassedOn ? [head.at] : [];
  });
  return Math.min(Infinity, ...instants);
};

const checkStatedLeaving = (
  traced: readonly TracedArrival[],
  passedOnAt: Millis,
  hindrances: readonly Hindrance[],
): readonly Finding[] => {
  const late = traced.filter(
    ({ arrival, origin }) =>
      origin.sentAt > passedOnAt + PROPAGATION_MS &&
      !isGatewayHindered(hindrances, origin.gateway, passedOnAt, arrival.at),
  );
  const [first] = late;
  if (first === undefined) return [];
  const { arrival, origin } = first;
  const detail = `${late.length.toString()} requests reached ${arrival.workerId} from gateway ${origin.gateway.toString()}, the first (${arrival.requestId}) sent ${formatMs(origin.sentAt - passedOnAt)} after the gateway had passed on that the worker leaves`;
  return [{ promise: 'stated-leaving', detail }];
};

/** Counts the requests that arrived in the time for which the worker had asked for none. */
const countRestArrivals = (
  { arrival, origin }: TracedArrival,
  traced: readonly TracedArrival[],
  hindrances: readonly Hindrance[],
): number => {
  const { answer, slot } = arrival;
  if (answer === null || answer.restMs === null) return 0;
  const from = answer.at + REST_SLACK_MS;
  const until = answer.at + answer.restMs;
  const isExcused =
    isGatewayHindered(hindrances, origin.gateway, answer.at, until) ||
    isSlotHindered(hindrances, slot, answer.at, until);
  if (isExcused) return 0;
  return traced.filter(({ arrival: { at } }) => at > from && at < until).length;
};

const checkStatedRest = (
  traced: readonly TracedArrival[],
  hindrances: readonly Hindrance[],
): readonly Finding[] => {
  const broken = traced
    .map((each) => ({ each, count: countRestArrivals(each, traced, hindrances) }))
    .filter(({ count }) => count > REST_ARRIVALS);
  const [first] = broken;
  if (first === undefined) return [];
  const { arrival, origin } = first.each;
  const most = Math.max(...broken.map(({ count }) => count));
  const detail = `${broken.length.toString()} answers of ${arrival.workerId} to gateway ${origin.gateway.toString()} that asked for rest, the first to ${arrival.requestId} for ${formatMs(arrival.answer?.restMs ?? 0)}, were followed by too many requests, ${most.toString()} at most`;
  return [{ promise: 'stated-rest', detail }];
};

const checkClosed = ({
  arrivals,
  hindrances,
  hostileGroups,
}: ArrivalObservations): readonly Finding[] =>
  hostileGroups.flatMap(({ closedAt, gateway, idPrefix }): readonly Finding[] => {
    const late = arrivals.filter(
      ({ at, requestId }) =>
        at > closedAt + CLOSE_SLACK_MS &&
        getIdPrefix(requestId) === idPrefix &&
        !isGatewayHindered(hindrances, gateway, closedAt, at),
    );
    if (late.length <= LATE_ARRIVALS) return [];
    const lastMs = Math.max(...late.map(({ at }) => at - closedAt));
    const detail = `${late.length.toString()} requests of the callers ${idPrefix} reached workers after their connections to gateway ${gateway.toString()} were closed, the last ${formatMs(lastMs)} later`;
    return [{ promise: 'no-work-after-close', detail }];
  });

/**
 * Checks what reached workers against what they had stated in their answers, and against callers that
 * had closed their connections.
 *
 * @param observations - records of a whole soak
 * @returns the violations that were found, one for each worker and process, or group of callers
 */
export const checkArrivals = (observations: ArrivalObservations): readonly Finding[] => {
  const { arrivals, hindrances } = observations;
  const calls = new Map(observations.calls.map((call) => [call.id, call]));
  const lastArrivals = new Map(arrivals.map((arrival) => [arrival.requestId, arrival]));
  const senderFindings = [...collectBySender(observations).values()].flatMap((traced) => [
    ...checkStatedLeaving(traced, findPassedOn(traced, calls, lastArrivals), hindrances),
    ...checkStatedRest(traced, hindrances),
  ]);
  return [...senderFindings, ...checkClosed(observations)];
};
