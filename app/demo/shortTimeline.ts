import type { StepReport } from './types.js';
import { describeEvent } from '../../packages/timeline/renderText.js';
import type { MergedEvent } from '../../packages/timeline/types.js';

/** Width of a terminal in characters; longer lines of the timeline are truncated. */
const LINE_WIDTH = 160;

const renderLine = ({ event, estimatedAt }: MergedEvent, startedAt: number): string => {
  const time = `+${(estimatedAt - startedAt).toFixed(1)} ms`.padStart(12);
  const line = `${time}  ${event.process.padEnd(12)} ${describeEvent({ ...event, requestId: undefined })}`;
  return line.length > LINE_WIDTH ? `${line.slice(0, LINE_WIDTH - 1)}…` : line;
};

const renderStep = (events: readonly MergedEvent[], report: StepReport): readonly string[] => {
  const stepEvents = events.filter(({ event }) =>
    report.requestIds.includes(event.requestId ?? ''),
  );
  const startedAt = stepEvents[0]?.estimatedAt ?? 0;
  return [`${report.step}:`, ...stepEvents.map((event) => renderLine(event, startedAt))];
};

/**
 * Renders the events of the demo's requests from all processes, one per line.
 *
 * @param events - merged events of all daemons
 * @param reports - steps whose requests are shown
 * @returns text; times are relative to the first event of each step
 */
export const renderShortTimeline = (
  events: readonly MergedEvent[],
  reports: readonly StepReport[],
): string => reports.flatMap((report) => renderStep(events, report)).join('\n');
