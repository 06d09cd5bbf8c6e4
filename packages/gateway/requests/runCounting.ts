import type { Forwarding, RequestsContext } from './types.js';
import type { GatewayEffect } from '../effects.js';

/**
 * Counts a request for the usage reports when an endpoint is known to have begun to run it: a stream with
 * its first event, any other answer with its head. It counts once, whatever happens to it later.
 *
 * @param forwarding - request
 * @param context - state and inputs
 * @returns effects; none if it was counted before, or nothing is reported
 */
export const countRun = (
  forwarding: Forwarding,
  { inputs }: RequestsContext,
): readonly GatewayEffect[] => {
  const { customer } = forwarding;
  if (inputs.usageReports === 'off' || customer === null || forwarding.usage === 'counted')
    return [];
  forwarding.usage = 'counted';
  return [{ kind: 'post', event: { to: 'usage', kind: 'run-began', customer: customer.name } }];
};
