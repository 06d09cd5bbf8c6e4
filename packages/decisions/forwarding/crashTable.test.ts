import test from 'ava';
import { CRASH_RETENTION_MS, MAX_CRASH_RECORDS } from './constants.js';
import { checkCrashes, createCrashTable, recordCrash } from './crashTable.js';

// Guards against a request that crashes one endpoint after the other.
test('a request that crashed three endpoints is refused until its crash record expires', (t) => {
  const table = createCrashTable();
  recordCrash(table, 'f', 'e-1', 0);
  recordCrash(table, 'f', 'e-2', 1);
  recordCrash(table, 'f', 'e-2', 2);
  t.is(checkCrashes(table, 'f', 3), 'accept');
  recordCrash(table, 'f', 'e-3', 4);
  t.is(checkCrashes(table, 'f', 5), 'refuse');
  t.is(checkCrashes(table, 'g', 5), 'accept');
  t.is(checkCrashes(table, 'f', 5 + CRASH_RETENTION_MS), 'accept');
});

// Guards against a crash table that grows without bound as connections break.
test('the oldest crash record is evicted above the bound', (t) => {
  const table = createCrashTable();
  for (let number = 0; number <= MAX_CRASH_RECORDS; number += 1) {
    recordCrash(table, `f-${number.toString()}`, 'e-1', number);
  }
  t.is(table.size, MAX_CRASH_RECORDS);
  t.false(table.has('f-0'));
});
