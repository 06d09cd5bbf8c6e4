import {
  LATE_FOR_MS,
  LATE_TIMER_MS,
  MAX_EVENTS_PER_BATCH,
  MAX_TIMER_MS,
  NEW_REQUEST_QUEUE_SHARE,
} from './constants.js';
import { createLatenessWatch } from './latenessWatch.js';
import type { Loop, LoopOptions, PostResult, QueueClass, Timer } from './types.js';
import { assertNever } from '../assertNever.js';
import type { Millis } from '../clock.js';

/**
 * Decides whether the queue admits an event of a class.
 *
 * @param queueClass - class of the event
 * @param depth - number of events in the queue
 * @param capacity - capacity of the queue in events
 * @returns `queued` when the event is admitted
 */
export const decideQueueAdmission = (
  queueClass: QueueClass,
  depth: number,
  capacity: number,
): PostResult => {
  switch (queueClass) {
    case 'new-request':
      return depth < capacity * NEW_REQUEST_QUEUE_SHARE ? 'queued' : 'shed';
    case 'report':
      return depth < capacity ? 'queued' : 'shed';
    case 'completion':
    case 'control':
      return 'queued';
    default:
      return assertNever(queueClass);
  }
};

/**
 * Creates the event loop of a daemon. It is idle until an event is posted or a timer fires.
 *
 * @param options - queue capacity, classification and handlers
 * @returns the running loop
 */
export const createLoop = <Event>(options: LoopOptions<Event>): Loop<Event> => {
  let queue: Event[] = [];
  let head = 0;
  let state: 'idle' | 'scheduled' | 'stopped' = 'idle';
  const timers = new Set<NodeJS.Timeout>();
  /** Instant at which a timer was noticed to be late. */
  let lateAt = -Infinity;
  const watch = createLatenessWatch(options.onLate ?? (() => undefined));

  const getDepth = (): number => queue.length - head;

  const handleBatch = (): void => {
    for (let handled = 0; handled < MAX_EVENTS_PER_BATCH && getDepth() > 0; handled += 1) {
      const event = queue[head] as Event;
      head += 1;
      try {
        options.handle(event);
      } catch (error) {
        options.onFault(error);
      }
      if (state === 'stopped') return;
    }
    if (getDepth() === 0) {
      queue = [];
      head = 0;
      state = 'idle';
      return;
    }
    if (head > MAX_EVENTS_PER_BATCH * 4) {
      queue = queue.slice(head);
      head = 0;
    }
    setImmediate(handleBatch);
  };

  const post = (event: Event): PostResult => {
    if (state === 'stopped') return 'shed';
    const result = decideQueueAdmission(options.classify(event), getDepth(), options.capacity);
    if (result === 'shed') return result;
    queue.push(event);
    if (state === 'idle') {
      state = 'scheduled';
      queueMicrotask(handleBatch);
    }
    return result;
  };

  const schedule = (delay: Millis, event: Event): Timer => {
    const delayMs = Math.min(Math.max(0, delay), MAX_TIMER_MS);
    const dueAt = performance.now() + delayMs;
    const handle = setTimeout(() => {
      timers.delete(handle);
      const now = performance.now();
      if (now - dueAt > LATE_TIMER_MS) lateAt = now;
      watch.recordTimer(now, now - dueAt);
      post(event);
    }, delayMs);
    timers.add(handle);
    return {
      cancel: () => {
        clearTimeout(handle);
        timers.delete(handle);
      },
    };
  };

  const stop = (): void => {
    state = 'stopped';
    queue = [];
    head = 0;
    for (const timer of timers) clearTimeout(timer);
    timers.clear();
  };

  const isLate = (): boolean => performance.now() - lateAt < LATE_FOR_MS;

  return { post, schedule, isLate, getDepth, stop };
};
