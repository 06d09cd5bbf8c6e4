import { Gauge, Registry } from 'prom-client';
import { createLatencyHistogram } from './latency.js';
import type { LatencyHistogram } from './latency.js';
import { registerProcessGauges } from './processGauges.js';
import type { Millis } from '../clock.js';

const QUANTILES: readonly number[] = [0.5, 0.95, 0.99, 0.999];

/** Counters, gauges and latency histograms of one process. */
export interface Metrics {
  readonly addCount: (name: string, labels: Readonly<Record<string, string>>) => void;
  readonly recordLatency: (name: string, className: string, duration: Millis) => void;
  readonly setGauge: (
    name: string,
    value: number,
    labels?: Readonly<Record<string, string>>,
  ) => void;
  /** Renders all metrics in the Prometheus text format, for the `/metrics` page. */
  readonly renderText: () => Promise<string>;
}

/**
 * Creates the metrics of a process. Latencies are recorded in HDR histograms and exported as
 * quantiles.
 *
 * @returns empty metrics
 */
export const createMetrics = (): Metrics => {
  const registry = new Registry();
  registerProcessGauges(registry);
  const gauges = new Map<string, Gauge>();
  const latencies = new Map<string, Map<string, LatencyHistogram>>();

  const findGauge = (name: string, labelNames: readonly string[]): Gauge => {
    const existing = gauges.get(name);
    if (existing !== undefined) return existing;
    const help = name.replaceAll('_', ' ');
    const gauge = new Gauge({ name, help, labelNames: [...labelNames], registers: [registry] });
    gauges.set(name, gauge);
    return gauge;
  };

  const publishLatencies = (): void => {
    for (const [name, histogramsByClass] of latencies) {
      const gauge = findGauge(name, ['class', 'quantile']);
      const count = findGauge(`${name}_count`, ['class']);
      for (const [className, histogram] of histogramsByClass) {
        count.set({ class: className }, histogram.getCount());
        for (const quantile of QUANTILES) {
          const labels = { class: className, quantile: quantile.toString() };
          gauge.set(labels, histogram.getQuantile(quantile));
        }
      }
    }
  };

  return {
    addCount: (name, labels) => {
      findGauge(name, Object.keys(labels)).inc({ ...labels });
    },
    recordLatency: (name, className, duration) => {
      const histogramsByClass = latencies.get(name) ?? new Map<string, LatencyHistogram>();
      latencies.set(name, histogramsByClass);
      const histogram = histogramsByClass.get(className) ?? createLatencyHistogram();
      histogramsByClass.set(className, histogram);
      histogram.record(duration);
    },
    setGauge: (name, value, labels = {}) => {
      findGauge(name, Object.keys(labels)).set({ ...labels }, value);
    },
    renderText: () => {
      publishLatencies();
      return registry.metrics();
    },
  };
};
