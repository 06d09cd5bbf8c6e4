import { renderTimelineHtml } from './renderHtml.js';
import { renderTimelineText } from './renderText.js';
import type { MergedEvent } from './types.js';
import { assertNever } from '../core/assertNever.js';

/** Form of a rendered time line. */
export type TimelineFormat = 'text' | 'json' | 'html';

/**
 * Renders merged events.
 *
 * @param events - events in merged order
 * @param format - form of the result
 * @param title - heading of an HTML page
 * @returns the document
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
