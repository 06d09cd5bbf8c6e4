import { readFileSync } from 'node:fs';
import test from 'ava';
import { EVENT_CATALOGUE } from './catalogue.js';
import { renderEventPage } from './eventPage.js';

// Guards against a catalogue page that no longer matches the code.
test('docs/EVENTS.md lists exactly the events of the code', (t) => {
  t.is(readFileSync('docs/EVENTS.md', 'utf8'), renderEventPage());
});

// Guards against two events that share a number, which a search of old logs would mix up.
test('event numbers are unique', (t) => {
  const numbers = Object.values(EVENT_CATALOGUE).map(({ number }) => number);
  t.is(new Set(numbers).size, numbers.length);
});
