import type { GatewayEffect } from './effects.js';
import type { EventLog } from '../core/events/eventLog.js';

const toMessage = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);

/**
 * Reports an unexpected error of an effect.
 *
 * @param kind - kind of the effect
 * @param error - what was thrown
 * @param events - log of the daemon
 */
export const reportFault = (
  kind: GatewayEffect['kind'],
  error: unknown,
  events: EventLog,
): void => {
  const text = error instanceof Error ? (error.stack ?? error.message) : String(error);
  events.record('effect-failed', { data: { effect: kind, error: text } });
};

/**
 * Waits for the result of an effect. Adapters return failures as results; a rejection is a defect,
 * which is reported and counts as a failure, since it would otherwise end the process.
 *
 * @param kind - kind of the effect
 * @param pending - result
 * @param events - log of the daemon
 * @param toFailure - makes the result of a rejection
 * @param handle - handles the result
 */
export const handleResult = <Value>(
  kind: GatewayEffect['kind'],
  pending: Promise<Value>,
  events: EventLog,
  toFailure: (message: string) => Value,
  handle: (result: Value) => void,
): void => {
  pending
    .catch((error: unknown) => {
      reportFault(kind, error, events);
      return toFailure(toMessage(error));
    })
    .then(handle)
    .catch((error: unknown) => {
      reportFault(kind, error, events);
    });
};
