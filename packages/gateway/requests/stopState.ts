import type { RequestsContext, RunStop } from './types.js';
import type { EndpointId } from '../../core/ids.js';
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
  const { attempt, key, permit } = stop;
  if (permit !== null) releaseSend(permit);
  stop.permit = null;
  const stops = state.runStops.get(key);
  stops?.delete(attempt);
  if (stops?.size === 0) state.runStops.delete(key);
};

/**
 * Ends the repetition of the orders to an endpoint that gets a request again. They name the request, so
 * that they would stop its new run there.
 *
 * @param key - key of the request
 * @param endpoint - endpoint to which the request is sent
 * @param context - state that is changed
 */
export const removeStopsAt = (
  key: number,
  endpoint: EndpointId,
  context: RequestsContext,
): void => {
  for (const stop of listStops(key, context))
    if (stop.endpoint.id === endpoint) removeStop(stop, context);
};

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
