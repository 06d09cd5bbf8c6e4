import test from 'ava';
import { createLatenessWatch } from './latenessWatch.js';
import type { LoopLateness } from './types.js';

// Guards against a log that cannot tell a busy daemon from one that waited for a processor (KNOWN-RED 11
// and 12 of issue 42).
test('a late timer is reported with the processor time that the process used meanwhile', (t) => {
  const reports: LoopLateness[] = [];
  let processorMs = 0;
  const watch = createLatenessWatch(
    (lateness) => reports.push(lateness),
    () => processorMs,
  );
  watch.recordTimer(1_000, 0);
  processorMs = 20;
  watch.recordTimer(1_050, 0);
  processorMs = 30;
  watch.recordTimer(2_000, 900);
  t.deepEqual(reports, [{ lateMs: 900, processorMs: 30, sinceMs: 1_000 }]);
  processorMs = 500;
  watch.recordTimer(2_500, 450);
  t.is(reports.length, 1);
  processorMs = 1_400;
  watch.recordTimer(3_500, 950);
  t.deepEqual(reports.at(-1), { lateMs: 950, processorMs: 900, sinceMs: 1_000 });
});
