import { readList, readNumber, readString } from './eventData.js';
import type {
  Attempt,
  RequestExplanation,
  PlacementStep,
  Refusal,
  RequestEnd,
  Wait,
} from './explainTypes.js';
import type { MergedEvent } from './types.js';
import type { EventName } from '../core/events/catalogue.js';
import type { LoggedEvent } from '../core/events/types.js';

/** Events that end a caller's request and the outcome that each stands for. */
const END_EVENTS: ReadonlyMap<EventName, RequestEnd> = new Map([
  ['request-finished', 'finished'],
  ['request-failed', 'failed'],
  ['request-cancelled', 'cancelled'],
  ['request-shed', 'shed'],
  ['key-replayed', 'replayed'],
]);

const REFUSAL_EVENTS: ReadonlySet<EventName> = new Set<EventName>([
  'request-failed',
  'request-shed',
  'request-quarantined',
  'work-refused',
  'intent-void',
]);

/** Events that end the wait of a request in the queue. */
const QUEUE_END_EVENTS: ReadonlySet<EventName> = new Set<EventName>([
  'request-placed',
  'request-failed',
  'request-cancelled',
  'request-shed',
]);

const findEnd = (events: readonly LoggedEvent[]): RequestEnd => {
  if (events.length === 0) return 'unknown';
  const ends = events.flatMap((event) => END_EVENTS.get(event.name) ?? []);
  return ends.at(-1) ?? 'in-progress';
};

const readEndpoint = (event: LoggedEvent): string =>
  event.endpoint ?? readString(event, 'endpoint') ?? 'unknown';

const collectPlacements = (events: readonly LoggedEvent[]): readonly PlacementStep[] =>
  events
    .filter((event) => event.name === 'request-placed')
    .map((event) => ({
      process: event.process,
      candidates: readList(event, 'candidates'),
      chosen: readString(event, 'chosen') ?? event.endpoint ?? 'unknown',
      reason: readString(event, 'reason') ?? 'not recorded',
    }));

const isSameIncarnation = (left: LoggedEvent, right: LoggedEvent): boolean =>
  left.process === right.process && left.incarnation === right.incarnation;

/** Matches each attempt with the next end event of its endpoint in the same process. */
const findAttemptEnds = (events: readonly LoggedEvent[]): ReadonlyMap<LoggedEvent, LoggedEvent> => {
  const open: LoggedEvent[] = [];
  const ends = new Map<LoggedEvent, LoggedEvent>();
  for (const event of events) {
    if (event.name === 'attempt-started') open.push(event);
    if (event.name !== 'attempt-ended') continue;
    const index = open.findIndex(
      (start) => isSameIncarnation(start, event) && readEndpoint(start) === readEndpoint(event),
    );
    const [start] = index < 0 ? [] : open.splice(index, 1);
    if (start !== undefined) ends.set(start, event);
  }
  return ends;
};

const describeAttempt = (start: LoggedEvent, end: LoggedEvent | undefined): Attempt => {
  const code = end && readString(end, 'code');
  return {
    process: start.process,
    endpoint: readEndpoint(start),
    ...(start.sent === undefined ? {} : { sent: start.sent }),
    verdict: end === undefined ? 'in-progress' : (readString(end, 'verdict') ?? 'not recorded'),
    ...(code === undefined ? {} : { code }),
    ...(end === undefined ? {} : { durationMs: end.at - start.at }),
  };
};

const collectAttempts = (events: readonly LoggedEvent[]): readonly Attempt[] => {
  const ends = findAttemptEnds(events);
  return events
    .filter((event) => event.name === 'attempt-started')
    .map((start) => describeAttempt(start, ends.get(start)));
};

const describeQueueing = (events: readonly LoggedEvent[], index: number): readonly Wait[] => {
  const event = events[index] as LoggedEvent;
  const end = events
    .slice(index + 1)
    .find((later) => isSameIncarnation(later, event) && QUEUE_END_EVENTS.has(later.name));
  return [
    {
      process: event.process,
      kind: 'queued',
      cause: readString(event, 'reason') ?? 'not recorded',
      ...(end === undefined ? {} : { durationMs: end.at - event.at }),
    },
  ];
};

const describeStall = (event: LoggedEvent): readonly Wait[] => {
  const durationMs = readNumber(event, 'stallMs');
  return [
    {
      process: event.process,
      kind: 'stalled',
      cause: readString(event, 'cause') ?? 'not recorded',
      ...(durationMs === undefined ? {} : { durationMs }),
    },
  ];
};

const collectWaits = (events: readonly LoggedEvent[]): readonly Wait[] =>
  events.flatMap((event, index) => {
    if (event.name === 'request-queued') return describeQueueing(events, index);
    return event.name === 'stream-stalled' ? describeStall(event) : [];
  });

const collectRefusals = (events: readonly LoggedEvent[]): readonly Refusal[] =>
  events
    .filter((event) => REFUSAL_EVENTS.has(event.name))
    .map((event) => ({
      process: event.process,
      name: event.name,
      code: readString(event, 'code') ?? 'not recorded',
      verdict: readString(event, 'verdict') ?? 'not recorded',
      reason: readString(event, 'reason') ?? readString(event, 'message') ?? 'not recorded',
    }));

/**
 * Explains one request: which endpoints were candidates, why one of them was chosen, how each
 * attempt ended, where the request waited and why it was refused.
 *
 * @param events - merged events of all processes
 * @param requestId - id of the request
 * @returns the explanation; its end is `unknown` when no event refers to the request
 */
export const explainRequest = (
  events: readonly MergedEvent[],
  requestId: string,
): RequestExplanation => {
  const requestEvents = events
    .map(({ event }) => event)
    .filter((event) => event.requestId === requestId);
  return {
    requestId,
    end: findEnd(requestEvents),
    placements: collectPlacements(requestEvents),
    attempts: collectAttempts(requestEvents),
    waits: collectWaits(requestEvents),
    refusals: collectRefusals(requestEvents),
    events: requestEvents.length,
  };
};
