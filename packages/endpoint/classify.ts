import { assertNever } from '../core/assertNever.js';
import type { EndpointEvent } from './types.js';
import type { QueueClass } from '../core/loop/types.js';

/**
 * Returns the queue class of an event. When the queue fills up, new work is shed first, then the
 * endpoint's load reports and cache events.
 *
 * @param event - event to queue
 * @returns the queue class
 */
export const classifyEvent = (event: EndpointEvent): QueueClass => {
  switch (event.kind) {
    case 'generate-requested':
    case 'call-requested':
      return 'new-request';
    case 'load-received':
    case 'cache-events-received':
      return 'report';
    case 'engine-chunks':
    case 'engine-finished':
    case 'engine-failed':
    case 'service-answered':
    case 'service-failed':
    case 'reader-acknowledged':
    case 'reader-disconnected':
    case 'work-ended':
    case 'tokens-received':
      return 'completion';
    case 'poll':
    case 'list-received':
    case 'list-failed':
    case 'health-received':
    case 'health-failed':
    case 'admit-generation':
    case 'admit-call':
    case 'restart-ramp':
    case 'open':
    case 'fence':
    case 'cancel':
    case 'sweep':
    case 'extra-heartbeat-due':
    case 'tick':
    case 'heartbeat-due':
    case 'acknowledged':
    case 'heartbeat-failed':
    case 'drain-started':
    case 'drain-checked':
      return 'control';
    default:
      return assertNever(event);
  }
};
