/** Style sheet of the page; it refers to no external resource. */
export const PAGE_STYLE = `
body { margin: 0; font: 13px/1.4 system-ui, sans-serif; color: #1d2733; background: #fff; }
header { position: sticky; top: 0; z-index: 2; padding: 8px 12px; background: #f2f4f7; border-bottom: 1px solid #cfd6de; }
header h1 { display: inline; margin: 0 16px 0 0; font-size: 16px; }
header input { width: 24em; padding: 3px 6px; font: inherit; }
main { display: flex; align-items: flex-start; }
#lanes { overflow-x: auto; flex: 1; }
#details { position: sticky; top: 44px; width: 30em; max-height: calc(100vh - 60px); overflow: auto; margin: 0; padding: 12px; border-left: 1px solid #cfd6de; white-space: pre-wrap; overflow-wrap: anywhere; font: 12px/1.4 ui-monospace, monospace; }
.lane { stroke: #cfd6de; }
.lane-name { font-weight: 600; }
.event { cursor: pointer; }
.event circle { fill: #2563a8; }
.event.warn circle { fill: #b7791f; }
.event.error circle { fill: #b42318; }
.event.debug circle { fill: #7b8794; }
.event:hover text, .event:focus text, .event.chosen text { text-decoration: underline; font-weight: 600; }
.arrow { fill: none; stroke: #5b7083; stroke-opacity: 0.7; }
.arrow.append { stroke-dasharray: 4 3; }
.hidden { display: none; }
`;

/**
 * Script of the page. The filter box hides the events that do not match, closes the gaps and
 * redraws the arrows between the rest; a click or Enter shows the details of an event.
 */
export const PAGE_SCRIPT = `
'use strict';
const svg = document.getElementById('timeline');
const rowHeight = Number(svg.dataset.rowHeight);
const top0 = Number(svg.dataset.top);
const events = Array.from(document.querySelectorAll('.event'));
const arrows = Array.from(document.querySelectorAll('.arrow'));
const details = document.getElementById('details');
const count = document.getElementById('count');
const filter = document.getElementById('filter');
const draw = (from, to) => {
  const middle = (from.y + to.y) / 2;
  return 'M' + from.x + ' ' + from.y + ' C' + from.x + ' ' + middle + ' ' + to.x + ' ' + middle + ' ' + to.x + ' ' + to.y;
};
const update = () => {
  const words = filter.value.toLowerCase().split(/\\s+/).filter(Boolean);
  const shown = new Map();
  let row = 0;
  for (const event of events) {
    const text = event.dataset.text.toLowerCase();
    const matches = words.every((word) => text.includes(word));
    event.classList.toggle('hidden', !matches);
    if (!matches) continue;
    const place = { x: Number(event.dataset.x), y: top0 + row * rowHeight };
    event.setAttribute('transform', 'translate(' + place.x + ' ' + place.y + ')');
    shown.set(event.dataset.order, place);
    row += 1;
  }
  for (const arrow of arrows) {
    const from = shown.get(arrow.dataset.from);
    const to = shown.get(arrow.dataset.to);
    const visible = from !== undefined && to !== undefined;
    arrow.classList.toggle('hidden', !visible);
    if (visible) arrow.setAttribute('d', draw(from, to));
  }
  svg.setAttribute('height', String(top0 + (row + 1) * rowHeight));
  count.textContent = row + ' of ' + events.length + ' events';
};
const show = (event) => {
  for (const other of events) other.classList.toggle('chosen', other === event);
  details.textContent = event.dataset.details;
};
for (const event of events) {
  event.addEventListener('click', () => show(event));
  event.addEventListener('keydown', (key) => {
    if (key.key === 'Enter') show(event);
  });
}
filter.addEventListener('input', update);
`;
