import { runInNewContext } from 'node:vm';
import test from 'ava';
import { PAGE_SCRIPT } from './htmlParts.js';
import { mergeTimelines } from './merge.js';
import { renderTimeline } from './renderTimeline.js';
import { buildEvent, buildLog } from './events.fixture.js';

const HOSTILE_TEXT = `</script><script>alert(1)</script>"'&\u0000`;

const buildMerged = (requestId: string) =>
  mergeTimelines([
    buildLog('a', [buildEvent('a', 0, 1, { requestId, sent: 'm1' })]),
    buildLog('b<i>', [
      buildEvent('b<i>', 0, 5, { received: 'm1', data: { note: HOSTILE_TEXT } }, 'work-refused'),
    ]),
  ]);

// Guards against cross-site scripting: a caller's text must not run in an operator's browser.
test('the page escapes all text and loads no resource', (t) => {
  const page = renderTimeline(buildMerged(HOSTILE_TEXT), 'html', HOSTILE_TEXT);
  t.is(page.split('<script>').length, 2);
  t.is(page.split('</script>').length, 2);
  t.false(page.includes('<i>'));
  t.false(page.includes('\u0000'));
  t.regex(page, /default-src 'none'/);
  t.notRegex(page, /\b(src|href)=|url\((?!#head\))|@import/);
});

// Guards against arrows that do not connect the send and receive events of a message.
test('the page has a lane for each process and an arrow for each message', (t) => {
  const page = renderTimeline(buildMerged('r1'), 'html', 'timeline');
  t.is(page.match(/class="lane"/g)?.length, 2);
  t.regex(page, /class="arrow message" data-from="0" data-to="1"/);
});

// Guards against output without the fields that operators search for.
test('text and JSON show order, process, fields and causes', (t) => {
  const merged = buildMerged('r1');
  const text = renderTimeline(merged, 'text', '');
  t.regex(text, /^#0 +1970-01-01T00:00:00\.001Z a +request-received request=r1 sent=m1\n/);
  t.regex(text, /work-refused received=m1 .* after #0 \(message\)\n$/);
  t.deepEqual(JSON.parse(renderTimeline(merged, 'json', '')), { events: merged });
});

interface FakeElement {
  readonly dataset: Readonly<Record<string, string>>;
  readonly attributes: Map<string, string>;
  readonly classes: Set<string>;
  readonly listeners: Map<string, () => void>;
  textContent: string;
  value: string;
}

const createElement = (dataset: Readonly<Record<string, string>>) => {
  const element: FakeElement = {
    dataset,
    attributes: new Map(),
    classes: new Set(),
    listeners: new Map(),
    textContent: '',
    value: '',
  };
  return {
    ...element,
    setAttribute: (name: string, value: string) => element.attributes.set(name, value),
    addEventListener: (name: string, listener: () => void) => element.listeners.set(name, listener),
    classList: {
      toggle: (name: string, on: boolean) =>
        on ? element.classes.add(name) : element.classes.delete(name),
    },
  };
};

// Guards against a filter box or a click without effect. The script runs against fake DOM elements,
// since the tests have no browser.
test('the page script filters events and shows the details of a clicked event', (t) => {
  const events = ['alpha', 'beta', 'alpha gamma'].map((text, order) =>
    createElement({ text, order: order.toString(), x: '24', details: `details of ${text}` }),
  );
  const arrows = [createElement({ from: '0', to: '2' }), createElement({ from: '0', to: '1' })];
  const elements = new Map(
    ['timeline', 'details', 'count', 'filter'].map((id) => [
      id,
      createElement({ rowHeight: '22', top: '48' }),
    ]),
  );
  runInNewContext(PAGE_SCRIPT, {
    document: {
      getElementById: (id: string) => elements.get(id),
      querySelectorAll: (selector: string) => (selector === '.event' ? events : arrows),
    },
  });
  const filter = elements.get('filter');
  if (filter !== undefined) filter.value = 'ALPHA';
  filter?.listeners.get('input')?.();
  t.deepEqual(
    events.map(({ classes }) => classes.has('hidden')),
    [false, true, false],
  );
  t.is(events[2]?.attributes.get('transform'), 'translate(24 70)');
  t.deepEqual(
    arrows.map(({ classes }) => classes.has('hidden')),
    [false, true],
  );
  t.is(elements.get('count')?.textContent, '2 of 3 events');
  events[2]?.listeners.get('click')?.();
  t.is(elements.get('details')?.textContent, 'details of alpha gamma');
});
