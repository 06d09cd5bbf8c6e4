/**
 * Formats the request id of an arrival. Non-repeatable calls also use it as their idempotency key.
 *
 * @param run - id of the run, which keeps the keys of different runs distinct
 * @param number - number of the arrival
 * @returns the request id
 */
export const formatRequestId = (run: string, number: number): string =>
  `load-${run}-${number.toString()}`;
