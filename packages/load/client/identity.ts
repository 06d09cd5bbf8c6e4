/**
 * Renders the request id of an arrival. Calls with an effect use it as their idempotency key too.
 *
 * @param run - id of the run, so that no two runs share keys
 * @param number - number of the arrival
 * @returns the id
 */
export const formatRequestId = (run: string, number: number): string =>
  `load-${run}-${number.toString()}`;
