import type { MemoryBudget } from './memoryBudget.js';
import type { Clock, Millis } from '../clock.js';
import type { EventLog } from '../events/eventLog.js';
import type { Metrics } from '../metrics/metrics.js';

/** Interval in which refusals of one holder are logged once: a line for each would fill the log. */
const REPORT_INTERVAL_MS: Millis = 1_000;

export interface MemoryReportsOptions<Holder extends string> {
  readonly memory: MemoryBudget<Holder>;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly metrics: Metrics;
  /** Begin of the names of the metrics. */
  readonly prefix: 'entry' | 'endpoint';
}

/**
 * Counts and logs what could not be reserved, and shows what is.
 *
 * @param options - memory and receivers of the reports
 * @returns metrics whose page shows the reserved bytes of each holder
 */
export const wireMemoryReports = <Holder extends string>({
  clock,
  events,
  memory,
  metrics,
  prefix,
}: MemoryReportsOptions<Holder>): Metrics => {
  const holders = Object.keys(memory.accounts) as Holder[];
  const reportedAt = new Map<Holder, Millis>();
  memory.notifyFull((holder, bytes) => {
    metrics.addCount(`${prefix}_memory_refusals_total`, { holder });
    const now = clock.now();
    if (now - (reportedAt.get(holder) ?? -Infinity) < REPORT_INTERVAL_MS) return;
    reportedAt.set(holder, now);
    const reserved = holders.map((name) => [name, memory.accounts[name].getReserved()] as const);
    events.record('memory-full', { data: { holder, bytes, ...Object.fromEntries(reserved) } });
  });
  return {
    ...metrics,
    renderText: () => {
      for (const holder of holders) {
        const bytes = memory.accounts[holder].getReserved();
        metrics.setGauge(`${prefix}_memory_reserved_bytes`, bytes, { holder });
      }
      return metrics.renderText();
    },
  };
};
