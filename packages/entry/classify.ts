import type { EntryEvent } from './events.js';
import { assertNever } from '../core/assertNever.js';
import type { QueueClass } from '../core/loop/types.js';

/**
 * Classifies an event for the bounded queue: new requests are shed first, then endpoints' reports.
 *
 * @param event - event to queue
 * @returns its importance
 */
export const classifyEvent = (event: EntryEvent): QueueClass => {
  switch (event.kind) {
    case 'request-arrived':
      return 'new-request';
    case 'heartbeat-received':
    case 'evidence-received':
      return 'report';
    case 'endpoint-completed':
    case 'caller-gone':
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
