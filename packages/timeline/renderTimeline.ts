import { renderTimelineHtml } from './renderHtml.js';
import { renderTimelineText } from './renderText.js';
import type { MergedEvent } from './types.js';
import { assertNever } from '../core/assertNever.js';

/** Output format of a timeline. */
export type TimelineFormat = 'text' | 'json' | 'html';

/**
 * Renders merged events in one of the output formats.
 *
 * @param events - events in merged order
 * @param format - output format
 * @param title - heading of the HTML page; unused in the other formats
 * @returns the rendered timeline
 */
export const renderTimeline = (
  events: readonly MergedEvent[],
  format: TimelineFormat,
  title: string,
): string => {
  switch (format) {
    case 'text':
      return renderTimelineText(events);
    case 'json':
      return `${JSON.stringify({ events })}\n`;
    case 'html':
      return renderTimelineHtml(events, title);
    default:
      return assertNever(format);
  }
};
