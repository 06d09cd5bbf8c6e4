import test from 'ava';
import { computeMaxConnections } from './callerLimit.js';
import { MAX_CONNECTIONS } from './constants.js';

// Guards against callers who take all descriptors of a machine, and against a limit of none on one that
// states hardly any.
test('callers get two thirds of the descriptors that are no files, up to the limit of the heap', (t) => {
  t.is(computeMaxConnections(3_200), 2_000);
  t.is(computeMaxConnections(100_000), MAX_CONNECTIONS);
  t.is(computeMaxConnections(10), 1);
});
