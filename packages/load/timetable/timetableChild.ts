import type { Arrival } from '../arrivals/types.js';
import type { ScheduleEntry } from '../scenario/types.js';
import type { LoadEffect, TimetableEvent } from '../types.js';
import type { Millis } from '../../core/clock.js';
import type { Step } from '../../core/step.js';
import { toStep } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';

/** Arrivals and actions of the run with their times. */
export interface Timetable {
  /** Sorted by time. */
  readonly arrivals: readonly Arrival[];
  /** Sorted by time. */
  readonly schedule: readonly ScheduleEntry[];
  readonly durationMs: Millis;
  readonly drainMs: Millis;
}

/** Indices of the next arrival and the next action in the timetable. */
export interface TimetableState {
  readonly nextArrival: number;
  readonly nextScheduled: number;
}

const findEnd = <Item extends { readonly atMs: Millis }>(
  items: readonly Item[],
  from: number,
  now: Millis,
): number => {
  let end = from;
  while (end < items.length && (items[end] as Item).atMs <= now) end += 1;
  return end;
};

const listEndEffects = (drainMs: Millis): readonly LoadEffect[] => [
  { kind: 'schedule', delayMs: 0, event: { to: 'requests', kind: 'arrivals-over' } },
  { kind: 'schedule', delayMs: drainMs, event: { to: 'requests', kind: 'drain-over' } },
];

/**
 * Sends the due arrivals and performs the due actions.
 *
 * @param state - position in the timetable
 * @param timetable - arrivals and scheduled actions
 * @param now - time since the start of the run
 * @returns the next position and the due effects, with the next tick or the end of the arrivals
 */
export const decideTimetable = (
  state: TimetableState,
  timetable: Timetable,
  now: Millis,
): Step<TimetableState, LoadEffect> => {
  const { arrivals, schedule, durationMs, drainMs } = timetable;
  const nextArrival = findEnd(arrivals, state.nextArrival, now);
  const nextScheduled = findEnd(schedule, state.nextScheduled, now);
  const due: readonly LoadEffect[] = [
    ...schedule
      .slice(state.nextScheduled, nextScheduled)
      .map((scheduled) => ({ kind: 'act', scheduled }) as const),
    ...arrivals
      .slice(state.nextArrival, nextArrival)
      .map((arrival) => ({ kind: 'send', arrival }) as const),
  ];
  const next = { nextArrival, nextScheduled };
  if (now >= durationMs) return toStep(next, ...due, ...listEndEffects(drainMs));
  const tickAt = Math.min(
    durationMs,
    arrivals[nextArrival]?.atMs ?? durationMs,
    schedule[nextScheduled]?.atMs ?? durationMs,
  );
  return toStep(next, ...due, {
    kind: 'schedule',
    delayMs: tickAt - now,
    event: { to: 'timetable', kind: 'tick' },
  });
};

/**
 * Creates the child that sends arrivals and performs actions at their intended times.
 *
 * @param timetable - arrivals and scheduled actions
 * @param now - time since the start of the run
 * @returns the logic of the child
 */
export const createTimetableChild = (
  timetable: Timetable,
  now: () => Millis,
): ChildLogic<TimetableState, TimetableEvent, LoadEffect> => ({
  init: () => decideTimetable({ nextArrival: 0, nextScheduled: 0 }, timetable, now()),
  decide: (state) => decideTimetable(state, timetable, now()),
});
