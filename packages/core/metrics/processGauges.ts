import { Gauge } from 'prom-client';
import type { Registry } from 'prom-client';

/** Names of the process gauges; they follow the convention of Node.js Prometheus clients. */
export const PROCESS_GAUGES = {
  rss: 'process_resident_memory_bytes',
  heap: 'nodejs_heap_size_used_bytes',
  external: 'nodejs_external_memory_bytes',
  cpu: 'process_cpu_seconds_total',
} as const;

const MICROS_PER_SECOND = 1_000_000;

/**
 * Registers gauges for memory and CPU time of this process, which are read at each rendering.
 *
 * @param registry - registry that receives the gauges
 */
export const registerProcessGauges = (registry: Registry): void => {
  const register = (name: string, help: string, read: () => number): void => {
    const gauge = new Gauge({
      name,
      help,
      registers: [registry],
      collect: () => {
        gauge.set(read());
      },
    });
  };
  register(PROCESS_GAUGES.rss, 'resident memory', () => process.memoryUsage.rss());
  register(PROCESS_GAUGES.heap, 'used part of the heap', () => process.memoryUsage().heapUsed);
  register(
    PROCESS_GAUGES.external,
    'memory outside the heap that objects of the heap hold',
    () => process.memoryUsage().external,
  );
  register(PROCESS_GAUGES.cpu, 'user and system time', () => {
    const { user, system } = process.cpuUsage();
    return (user + system) / MICROS_PER_SECOND;
  });
};
