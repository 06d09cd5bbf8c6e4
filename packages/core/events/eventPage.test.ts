import { readFileSync } from 'node:fs';
import test from 'ava';
import { EVENT_CATALOGUE } from './catalogue.js';
import { renderEventPage } from './eventPage.js';

// Guards against a generated page that is out of date with the catalogue in the code.
test('docs/EVENTS.md lists exactly the events of the code', (t) => {
  t.is(readFileSync('docs/EVENTS.md', 'utf8'), renderEventPage());
});

// Guards against two events with one number, which a search of old logs could not distinguish.
test('event numbers are unique', (t) => {
  const numbers = Object.values(EVENT_CATALOGUE).map(({ number }) => number);
  t.is(new Set(numbers).size, numbers.length);
});
