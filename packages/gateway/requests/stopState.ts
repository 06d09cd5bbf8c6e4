import type { Attempt, Forwarding, RequestsContext, RunStop } from './types.js';
import { releaseSend } from '../../decisions/forwarding/sendPermits.js';

/**
 * Finds the order to stop the run of an attempt.
 *
 * @param key - key of the request
 * @param attempt - number of the attempt
 * @param context - state
 * @returns the order, or null without one
 */
export const findStop = (
  key: number,
  attempt: number,
  { state }: RequestsContext,
): RunStop | null => state.runStops.get(key)?.get(attempt) ?? null;

/**
 * Lists the orders to stop runs of a request.
 *
 * @param key - key of the request
 * @param context - state
 * @returns the orders
 */
export const listStops = (key: number, { state }: RequestsContext): readonly RunStop[] => [
  ...(state.runStops.get(key)?.values() ?? []),
];

/** Attempt whose connection to its engine is still open, with its request. */
export interface OpenAttempt {
  readonly forwarding: Forwarding;
  readonly attempt: Attempt;
}

/**
 * Finds the attempt of an order whose connection is still open, as that of a silent stream.
 *
 * @param stop - order to stop the run of the attempt
 * @param context - state
 * @returns the attempt, or null once it has ended
 */
export const findOpenAttempt = (
  { attempt: number, key }: RunStop,
  { state }: RequestsContext,
): OpenAttempt | null => {
  const forwarding = state.inFlight.get(key);
  const attempt = forwarding?.attempts.get(number);
  return forwarding === undefined || attempt === undefined ? null : { forwarding, attempt };
};

/**
 * Adds an order to those that are repeated.
 *
 * @param stop - order
 * @param context - state that is changed
 */
export const addStop = (stop: RunStop, { state }: RequestsContext): void => {
  const stops = state.runStops.get(stop.key) ?? new Map<number, RunStop>();
  stops.set(stop.attempt, stop);
  state.runStops.set(stop.key, stops);
};

/**
 * Ends the repetition of an order, and returns a permission that was not used.
 *
 * @param stop - order
 * @param context - state that is changed
 */
export const removeStop = (stop: RunStop, { state }: RequestsContext): void => {
  const { attempt, key } = stop;
  releaseStopPermit(stop);
  const stops = state.runStops.get(key);
  stops?.delete(attempt);
  if (stops?.size === 0) state.runStops.delete(key);
};

/**
 * Returns the permission that an order holds, once its stream cannot use it any more.
 *
 * @param stop - order, which is changed
 */
export const releaseStopPermit = (stop: RunStop): void => {
  if (stop.permit !== null) releaseSend(stop.permit);
  stop.permit = null;
};

/**
 * Reports whether the endpoint of an order has got its request again. Orders name the request, so that
 * they would stop the new run there.
 *
 * @param stop - order to stop an earlier run
 * @param context - state
 * @returns false also while the new attempt is connecting
 */
export const isUsedAgain = (
  { attempt, endpoint, key }: RunStop,
  { state }: RequestsContext,
): boolean =>
  [...(state.inFlight.get(key)?.attempts.values() ?? [])].some(
    (other) =>
      other.number !== attempt && other.endpoint.id === endpoint.id && other.phase !== 'connecting',
  );

/**
 * Ends the repetition of the order to stop a run whose answer has arrived whole.
 *
 * @param key - key of the request
 * @param attempt - number of the attempt
 * @param context - state that is changed
 */
export const removeStopOf = (key: number, attempt: number, context: RequestsContext): void => {
  const stop = findStop(key, attempt, context);
  if (stop !== null) removeStop(stop, context);
};
