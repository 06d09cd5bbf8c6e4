import { PAGE_SCRIPT, PAGE_STYLE } from './htmlParts.js';
import { describeEvent, formatTime } from './renderText.js';
import type { Cause, MergedEvent } from './types.js';

const LANE_WIDTH_PX = 260;
const ROW_HEIGHT_PX = 22;
const LANE_START_PX = 24;
/** Height of the row with the process names, above the first event. */
const HEADER_HEIGHT_PX = 48;
/** Longest label beside an event; longer ones are truncated, and the details show the full text. */
const MAX_LABEL_CHARACTERS = 34;

const ESCAPES: Readonly<Record<string, string>> = {
  '&': '&amp;',
  '<': '&lt;',
  '>': '&gt;',
  '"': '&quot;',
  "'": '&#39;',
};

const encodeHtml = (text: string): string =>
  // Control characters other than tab and line feed are not allowed in HTML.
  text
    .replace(/[&<>"']/g, (character) => ESCAPES[character] ?? '')
    .replace(/[\u0000-\u0008\u000b-\u001f\u007f]/g, '\ufffd');

interface Point {
  readonly x: number;
  readonly y: number;
}

interface Layout {
  readonly processes: readonly string[];
  readonly points: ReadonlyMap<number, Point>;
  readonly width: number;
  readonly height: number;
}

const buildLayout = (events: readonly MergedEvent[]): Layout => {
  const processes = [...new Set(events.map(({ event }) => event.process))].sort();
  const lanes = new Map(processes.map((process, lane) => [process, lane]));
  const points = events.map(({ event, order }, row): [number, Point] => {
    const x = LANE_START_PX + (lanes.get(event.process) ?? 0) * LANE_WIDTH_PX;
    return [order, { x, y: HEADER_HEIGHT_PX + row * ROW_HEIGHT_PX }];
  });
  return {
    processes,
    points: new Map(points),
    width: LANE_START_PX + Math.max(1, processes.length) * LANE_WIDTH_PX,
    height: HEADER_HEIGHT_PX + (events.length + 1) * ROW_HEIGHT_PX,
  };
};

const renderLane = (process: string, lane: number): string => {
  const x = (LANE_START_PX + lane * LANE_WIDTH_PX).toString();
  return [
    `<line class="lane" x1="${x}" x2="${x}" y1="32" y2="100%"/>`,
    `<text class="lane-name" x="${x}" y="22">${encodeHtml(process)}</text>`,
  ].join('\n');
};

const renderArrow = (cause: Cause, to: MergedEvent, layout: Layout): string => {
  const start = layout.points.get(cause.order);
  const end = layout.points.get(to.order);
  if (start === undefined || end === undefined) return '';
  const middle = ((start.y + end.y) / 2).toString();
  const [x1, y1, x2, y2] = [start.x, start.y, end.x, end.y].map(String);
  const path = `M${x1} ${y1} C${x1} ${middle} ${x2} ${middle} ${x2} ${y2}`;
  return `<path class="arrow ${cause.kind}" data-from="${cause.order.toString()}" data-to="${to.order.toString()}" marker-end="url(#head)" d="${path}"/>`;
};

const formatLabel = (merged: MergedEvent): string => {
  const { name, requestId, entity } = merged.event;
  const label = [name, requestId ?? entity ?? ''].join(' ').trim();
  return label.length <= MAX_LABEL_CHARACTERS
    ? label
    : `${label.slice(0, MAX_LABEL_CHARACTERS - 1)}…`;
};

const formatDetails = ({ event, order, estimatedAt, causes }: MergedEvent): string =>
  JSON.stringify({ order, estimatedAt: formatTime(estimatedAt), causes, ...event }, undefined, 2);

const renderEvent = (merged: MergedEvent, layout: Layout): string => {
  const { event, order } = merged;
  const { x, y } = layout.points.get(order) ?? { x: 0, y: 0 };
  const summary = `${event.process} ${describeEvent(event)}`;
  const attributes = [
    `class="event ${encodeHtml(event.level)}"`,
    'tabindex="0"',
    `data-order="${order.toString()}"`,
    `data-x="${x.toString()}"`,
    `data-text="${encodeHtml(summary)}"`,
    `data-details="${encodeHtml(formatDetails(merged))}"`,
    `transform="translate(${x.toString()} ${y.toString()})"`,
  ].join(' ');
  const label = encodeHtml(formatLabel(merged));
  return `<g ${attributes}><title>${encodeHtml(summary)}</title><circle r="5"/><text x="10" y="4">${label}</text></g>`;
};

const renderSvg = (events: readonly MergedEvent[], layout: Layout): string =>
  [
    `<svg id="timeline" width="${layout.width.toString()}" height="${layout.height.toString()}" data-row-height="${ROW_HEIGHT_PX.toString()}" data-top="${HEADER_HEIGHT_PX.toString()}">`,
    '<defs><marker id="head" viewBox="0 0 8 8" refX="12" refY="4" markerWidth="7" markerHeight="7" orient="auto"><path d="M0 0 L8 4 L0 8 z" fill="#5b7083"/></marker></defs>',
    ...layout.processes.map(renderLane),
    ...events.flatMap((merged) =>
      merged.causes.map((cause) => renderArrow(cause, merged, layout)).filter(Boolean),
    ),
    ...events.map((merged) => renderEvent(merged, layout)),
    '</svg>',
  ].join('\n');

/**
 * Renders merged events as a self-contained HTML page with a lane for each process. The content
 * security policy of the page forbids loading any resource.
 *
 * @param events - events in merged order
 * @param title - heading of the page
 * @returns the HTML document
 */
export const renderTimelineHtml = (events: readonly MergedEvent[], title: string): string =>
  [
    '<!doctype html>',
    '<html lang="en">',
    '<head>',
    '<meta charset="utf-8">',
    `<meta http-equiv="Content-Security-Policy" content="default-src 'none'; style-src 'unsafe-inline'; script-src 'unsafe-inline'">`,
    `<title>${encodeHtml(title)}</title>`,
    `<style>${PAGE_STYLE}</style>`,
    '</head>',
    '<body>',
    `<header><h1>${encodeHtml(title)}</h1><label>Filter <input id="filter" type="search" placeholder="words that an event must contain"></label> <span id="count">${events.length.toString()} events</span></header>`,
    `<main><div id="lanes">${renderSvg(events, buildLayout(events))}</div><pre id="details">Click an event for its details.</pre></main>`,
    `<script>${PAGE_SCRIPT}</script>`,
    '</body>',
    '</html>',
    '',
  ].join('\n');
