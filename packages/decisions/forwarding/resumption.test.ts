import test from 'ava';
import { isResumableAt } from './resumption.js';

const LIMITS = { leavingMs: 1_200, dataCentreOutMs: 2_000 };

const isResumable = (leavingAt: number | null, dataCentreOutAt: number | null): boolean =>
  isResumableAt({ kind: 'known', leavingAt, dataCentreOutAt }, LIMITS, 10_000);

// Guards against giving up generations that their endpoint may still finish.
test('a generation resumes at an endpoint that gets no new requests', (t) => {
  t.true(isResumable(null, null));
  t.true(isResumable(8_801, null));
  t.true(isResumable(null, 8_001));
  t.true(isResumable(8_801, 8_001));
});

// Guards against requests that arrive after the notice of an endpoint, or after the time in which a data
// centre has to be empty.
test('a generation does not resume after the limits', (t) => {
  t.false(isResumable(8_800, null));
  t.false(isResumable(null, 8_000));
  t.false(isResumable(8_800, 8_001));
  t.false(isResumable(8_801, 8_000));
});

// Guards against a second run at an endpoint without the memory of the generation.
test('a generation does not resume at a lost holder', (t) => {
  t.false(isResumableAt({ kind: 'lost' }, LIMITS, 10_000));
});
