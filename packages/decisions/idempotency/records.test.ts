import test from 'ava';
import { parseIntentRecord } from './records.js';

const INTENT = {
  kind: 'intent',
  format: 1,
  customer: 'c',
  key: 'k',
  fingerprint: 'f',
  nonce: 'n',
  previous: null,
  endpoint: 'e',
  incarnation: 'i',
  entry: 'd',
  issuedAt: null,
  at: 5,
};

// Guards against a record of a later version that is folded with the meaning of this version.
test('a later format is refused with the name of the field', (t) => {
  const failure = parseIntentRecord({ ...INTENT, format: 2 }).unwrapErr();
  t.is(failure.code, 'unsupported-format');
  t.regex(failure.message, /"format"/);
});

// Guards against an invalid record that is folded, or refused without a reason.
test('an invalid field is named and a valid record is returned unchanged', (t) => {
  t.regex(parseIntentRecord({ ...INTENT, previous: 3 }).unwrapErr().message, /"previous"/);
  t.regex(parseIntentRecord({ ...INTENT, kind: 'other' }).unwrapErr().message, /"kind"/);
  t.true(parseIntentRecord(null).isErr());
  t.deepEqual(parseIntentRecord(INTENT).unwrap() as unknown, INTENT);
});
