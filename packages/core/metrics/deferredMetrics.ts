import type { Metrics } from './metrics.js';
import type { Millis } from '../clock.js';

/** Metrics whose libraries are loaded after a daemon has started. */
export interface DeferredMetrics {
  readonly addCount: (name: string, labels: Readonly<Record<string, string>>) => void;
  readonly recordLatency: (name: string, className: string, duration: Millis) => void;
  readonly setGauge: (
    name: string,
    value: number,
    labels: Readonly<Record<string, string>>,
  ) => void;
  readonly renderText: () => Promise<string>;
  /** Loads the libraries and applies the pending records. */
  readonly load: () => Promise<void>;
}

/** Largest number of records buffered until the libraries are loaded; further ones are dropped. */
const MAX_PENDING_RECORDS = 10_000;

/**
 * Creates metrics that buffer their records until the metrics libraries are loaded, so that a
 * restarted daemon serves requests before it spends CPU time on loading them.
 *
 * @returns empty metrics
 */
export const createDeferredMetrics = (): DeferredMetrics => {
  let loaded: Metrics | null = null;
  let loading: Promise<Metrics> | null = null;
  const pending: ((metrics: Metrics) => void)[] = [];

  const applyWhenLoaded = (apply: (metrics: Metrics) => void): void => {
    if (loaded !== null) apply(loaded);
    else if (pending.length < MAX_PENDING_RECORDS) pending.push(apply);
  };

  const loadMetrics = async (): Promise<Metrics> => {
    const { createMetrics } = await import('./metrics.js');
    const metrics = createMetrics();
    for (const apply of pending.splice(0)) apply(metrics);
    loaded = metrics;
    return metrics;
  };

  const getOrLoadMetrics = (): Promise<Metrics> => (loading ??= loadMetrics());

  return {
    addCount: (name, labels) => {
      applyWhenLoaded((metrics) => {
        metrics.addCount(name, labels);
      });
    },
    recordLatency: (name, className, duration) => {
      applyWhenLoaded((metrics) => {
        metrics.recordLatency(name, className, duration);
      });
    },
    setGauge: (name, value, labels) => {
      applyWhenLoaded((metrics) => {
        metrics.setGauge(name, value, labels);
      });
    },
    renderText: async () => (await getOrLoadMetrics()).renderText(),
    load: async () => {
      await getOrLoadMetrics();
    },
  };
};
