import { writeFileSync } from 'node:fs';
import { fetchLogs } from './clients/debugClient.js';
import type { EventSources } from './clients/debugClient.js';
import type { CommandOutcome } from './output.js';
import { explainMove } from '../packages/timeline/explainMove.js';
import { explainRequest } from '../packages/timeline/explainRequest.js';
import { mergeTimelines, selectEvents } from '../packages/timeline/merge.js';
import { renderExplanationText, renderMoveText } from '../packages/timeline/renderExplanation.js';
import { renderTimeline } from '../packages/timeline/renderTimeline.js';
import type { TimelineFormat } from '../packages/timeline/renderTimeline.js';
import type { EventSelection, MergedEvent } from '../packages/timeline/types.js';

/** Parsed flags of the commands that read events. */
export interface SourceFlags {
  readonly url?: readonly string[] | undefined;
  readonly 'list-url'?: string | undefined;
}

/** Format and destination of a rendered timeline. */
export interface TimelineOptions {
  readonly format: TimelineFormat;
  /** File to write instead of standard output. */
  readonly output?: string | undefined;
}

const toSources = (flags: SourceFlags): EventSources => ({
  urls: flags.url ?? [],
  ...(flags['list-url'] === undefined ? {} : { listUrl: flags['list-url'] }),
});

type DescribeEvents = (
  events: readonly MergedEvent[],
  missing: readonly string[],
) => CommandOutcome;

/** Fetches and merges the events; the outcome is a failure when no daemon could be read. */
const describeMergedEvents = async (
  flags: SourceFlags,
  describe: DescribeEvents,
): Promise<CommandOutcome> => {
  const { logs, missing } = await fetchLogs(toSources(flags));
  if (logs.length === 0) {
    const message = ['no daemon returned its events', ...missing].join('\n');
    return { kind: 'failed', reason: 'try-again', message };
  }
  return describe(mergeTimelines(logs), missing);
};

const formatTitle = (selection: EventSelection): string => {
  const parts = Object.entries(selection).flatMap(([name, value]) =>
    value === undefined ? [] : [`${name} ${String(value)}`],
  );
  return ['timeline', ...parts].join(', ');
};

const writeDocument = (document: string, file: string, events: number): CommandOutcome => {
  writeFileSync(file, document);
  const text = `wrote ${events.toString()} events to ${file}`;
  return { kind: 'done', text, data: { file, events } };
};

/**
 * Renders the merged events of several daemons.
 *
 * @param flags - daemons to read events from
 * @param selection - which events are shown
 * @param options - format and destination of the result
 * @returns the timeline, with a warning for each daemon that returned no events
 */
export const renderEvents = (
  flags: SourceFlags,
  selection: EventSelection,
  options: TimelineOptions,
): Promise<CommandOutcome> =>
  describeMergedEvents(flags, (merged, warnings) => {
    const events = selectEvents(merged, selection);
    const document = renderTimeline(events, options.format, formatTitle(selection));
    const outcome: CommandOutcome =
      options.output === undefined
        ? { kind: 'done', text: document, data: { events, missing: warnings } }
        : writeDocument(document, options.output, events.length);
    return { ...outcome, warnings };
  });

/**
 * Explains what happened to a request from the events of daemons.
 *
 * @param flags - daemons to read events from
 * @param requestId - id of the request
 * @returns the explanation, with a warning for each daemon that returned no events
 */
export const fetchRequestExplanation = (
  flags: SourceFlags,
  requestId: string,
): Promise<CommandOutcome> =>
  describeMergedEvents(flags, (merged, warnings) => {
    const explanation = explainRequest(merged, requestId);
    const text = renderExplanationText(explanation);
    return { kind: 'done', text, data: { ...explanation, missing: warnings }, warnings };
  });

/**
 * Explains what happened to a version move from the events of daemons.
 *
 * @param flags - daemons to read events from
 * @param name - name of the move
 * @returns the explanation, with a warning for each daemon that returned no events
 */
export const fetchMoveExplanation = (flags: SourceFlags, name: string): Promise<CommandOutcome> =>
  describeMergedEvents(flags, (merged, warnings) => {
    const explanation = explainMove(merged, name);
    const text = renderMoveText(explanation);
    return { kind: 'done', text, data: { ...explanation, missing: warnings }, warnings };
  });
