import type { Metrics } from './metrics.js';
import type { Millis } from '../clock.js';

/** Metrics whose libraries are loaded after the start of a daemon. */
export interface DeferredMetrics {
  readonly addCount: (name: string, labels: Readonly<Record<string, string>>) => void;
  readonly recordLatency: (name: string, className: string, duration: Millis) => void;
  readonly renderText: () => Promise<string>;
  /** Loads the libraries now. */
  readonly load: () => Promise<void>;
}

/** Records kept until the libraries are loaded; more are left out. */
const MAX_PENDING_RECORDS = 10_000;

/**
 * Creates metrics that keep their records until the libraries behind them are loaded, so that a
 * restarted daemon serves before it spends processor time on them.
 *
 * @returns the metrics
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
    renderText: async () => (await getOrLoadMetrics()).renderText(),
    load: async () => {
      await getOrLoadMetrics();
    },
  };
};
