import type { EntryEvent } from './events.js';
import { assertNever } from '../core/assertNever.js';
import type { QueueClass } from '../core/loop/types.js';

/**
 * Returns the class of an event in the bounded queue, which sheds new requests first, then reports
 * of endpoints.
 *
 * @param event - event to queue
 * @returns the event's queue class
 */
export const classifyEvent = (event: EntryEvent): QueueClass => {
  switch (event.kind) {
    case 'request-arrived':
      return 'new-request';
    case 'heartbeat-received':
    case 'evidence-received':
      return 'report';
    case 'endpoint-completed':
    case 'caller-disconnected':
    case 'append-ended':
    case 'notice-ended':
    case 'read-ended':
    case 'read-failed':
    case 'request-received':
      return 'completion';
    case 'poll':
    case 'list-received':
    case 'list-failed':
    case 'read-due':
    case 'upkeep':
    case 'peer-answered':
    case 'peer-failed':
    case 'append-requested':
    case 'commit-due':
    case 'list-updated':
    case 'configuration-updated':
    case 'tick':
    case 'resume-due':
    case 'intent-timer':
    case 'intents-folded':
    case 'retry-due':
    case 'capacity-changed':
    case 'endpoint-lost':
    case 'drain-ended':
    case 'record-posted':
    case 'records-folded':
    case 'end-accepted':
    case 'operation-expired':
    case 'drain-started':
    case 'drain-checked':
      return 'control';
    default:
      return assertNever(event);
  }
};
