import test from 'ava';
import { createMetrics } from './metrics.js';
import { PROCESS_GAUGES } from './processGauges.js';

// Guards against a metrics page without the memory and CPU usage of the daemon.
test('the metrics page shows memory and CPU time of the process', async (t) => {
  const text = await createMetrics().renderText();
  for (const name of Object.values(PROCESS_GAUGES)) {
    const value = Number(new RegExp(`^${name} (\\S+)$`, 'm').exec(text)?.[1]);
    t.true(value > 0, name);
  }
});
