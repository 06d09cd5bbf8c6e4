import { GATEWAY_HOLDERS } from './memory.js';
import type { GatewayMemory } from './memory.js';
import type { EventLog } from '../core/events/eventLog.js';
import type { DeferredMetrics } from '../core/metrics/deferredMetrics.js';

/**
 * Reports each part of a daemon that could not reserve memory, with what all of them hold.
 *
 * @param memory - owner of the memory
 * @param events - log of the daemon
 * @param metrics - metrics of the daemon
 */
export const reportFullMemory = (
  { accounts, notifyFull }: GatewayMemory,
  events: EventLog,
  metrics: DeferredMetrics,
): void => {
  notifyFull((holder, bytes) => {
    metrics.addCount('gateway_memory_refusals_total', { holder });
    const reserved = GATEWAY_HOLDERS.map((name) => [name, accounts[name].getReserved()]);
    events.record('memory-full', {
      data: { holder, bytes, ...(Object.fromEntries(reserved) as Record<string, number>) },
    });
  });
};
