import type { GatewayEvent } from './events.js';
import { assertNever } from '../core/assertNever.js';
import type { QueueClass } from '../core/loop/types.js';

/**
 * Classifies an event for the bounded queue, which sheds new requests first and reports of peers
 * next.
 *
 * @param event - event to enqueue
 * @returns its class
 */
export const classifyEvent = (event: GatewayEvent): QueueClass => {
  switch (event.kind) {
    case 'caller-arrived':
      return 'new-request';
    case 'peer-report-received':
    case 'crashes-reported':
    case 'usage-received':
      return 'report';
    case 'endpoint-answered':
    case 'answer-started':
    case 'answer-continued':
    case 'answer-ended':
    case 'attempt-connected':
    case 'attempt-failed':
    case 'transfer-ended':
    case 'run-stop-answered':
    case 'endpoint-probed':
    case 'run-checked':
    case 'quarantines-loaded':
    case 'caller-disconnected':
    case 'feed-answered':
    case 'lease-loaded':
    case 'lease-appended':
    case 'usage-report-ended':
    case 'report-read':
    case 'request-arrived':
      return 'completion';
    case 'feed-due':
    case 'usage-due':
    case 'run-began':
    case 'configuration-read':
    case 'registrations-changed':
    case 'data-centres-changed':
    case 'data-centre-hold-due':
    case 'attempt-observed':
    case 'limit-reported':
    case 'removal-due':
    case 'load-due':
    case 'save-due':
    case 'remove-due':
    case 'store-restored':
    case 'crash-observed':
    case 'answer-observed':
    case 'content-quarantined':
    case 'report-poll-due':
    case 'report-due':
    case 'moves-changed':
    case 'move-hold-due':
    case 'versions-changed':
    case 'serving-check-due':
    case 'deadline-reached':
    case 'placement-due':
    case 'room-due':
    case 'hedge-due':
    case 'stall-check-due':
    case 'run-check-due':
    case 'run-stop-due':
    case 'overlap-ended':
    case 'endpoint-leaving':
    case 'transfer-due':
    case 'report-changed':
    case 'drain-started':
    case 'drain-ended':
    case 'drain-checked':
      return 'control';
    default:
      return assertNever(event);
  }
};
