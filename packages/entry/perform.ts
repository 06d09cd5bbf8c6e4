import type { EntryEffect, EntryEvent, OperatorNotice, OperatorOutcome } from './events.js';
import type { Responders } from './frontend/responders.js';
import type { TicketIssuer } from './frontend/tickets.js';
import type { HeartbeatServer } from './membership/heartbeatServer.js';
import type { PlatformAdapter } from './platform/platformAdapter.js';
import type { EndpointClient } from './requests/endpointMessages.js';
import { assertNever } from '../core/assertNever.js';
import type { EventLog } from '../core/events/eventLog.js';
import { performLoopEffect } from '../core/loop/effects.js';
import type { Loop } from '../core/loop/types.js';
import type { Metrics } from '../core/metrics/metrics.js';
import { createFailure } from '../core/verdict.js';

/** Adapters that carry out the effects of an entry daemon. */
export interface EntryAdapters {
  readonly loop: () => Loop<EntryEvent>;
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly responders: Responders;
  readonly tickets: TicketIssuer;
  readonly heartbeats: HeartbeatServer;
  readonly platform: PlatformAdapter;
  readonly endpoints: EndpointClient;
  readonly replyOperator: (operationId: string, outcome: OperatorOutcome) => void;
  readonly notifyOperators: (notice: OperatorNotice) => Promise<'sent' | 'failed' | 'no-address'>;
  readonly endProcess: (left: number) => void;
}

type EffectOf<Kind extends EntryEffect['kind']> = Extract<EntryEffect, { readonly kind: Kind }>;

const REQUEST_STATE_LOST = createFailure(
  'may-have-run',
  'internal',
  'the entry daemon lost the state of the request',
);

const writeChunks = (effect: EffectOf<'write-chunks'>, adapters: EntryAdapters): void => {
  const { requestId, customer, model, source, fromNumber, chunks } = effect;
  const { ticket, createdAt } = adapters.tickets.getTicket(requestId, customer, source);
  const identity = { generationId: source.generationId, model, createdAt };
  const written = adapters.responders.writeChunks({
    requestId,
    identity,
    ticket,
    fromNumber,
    chunks,
  });
  if (written === 'written' || effect.pace === 'stored') return;
  // The caller reads too slowly to buffer its stream here; it can resume from its last event id.
  adapters.responders.closeConnection(requestId);
  adapters.loop().post({ to: 'requests', kind: 'caller-disconnected', requestId });
};

const endStreamWithTicket = (effect: EffectOf<'hand-over'>, adapters: EntryAdapters): void => {
  const { requestId, customer, source, nextNumber } = effect;
  const { ticket } = adapters.tickets.getTicket(requestId, customer, source);
  adapters.responders.endWithTicket(requestId, ticket, nextNumber);
  adapters.tickets.remove(requestId);
};

const sendNotice = (effect: EffectOf<'notify-operators'>, adapters: EntryAdapters): void => {
  const { notice, report } = effect;
  const sending = adapters.notifyOperators(notice);
  if (report === 'none') return;
  const { id } = notice;
  void sending.then((result) => {
    if (result === 'no-address') return;
    adapters.loop().post({ to: 'moves', kind: 'notice-ended', id, result });
  });
};

/**
 * Carries out one effect. An unexpected error of an effect for one request ends that request's
 * connection only; any other one is thrown and ends the daemon.
 *
 * @param effect - effect of a decision
 * @param adapters - adapters of the daemon
 * @throws the error of an effect that belongs to no request
 */
export const performEffect = (effect: EntryEffect, adapters: EntryAdapters): void => {
  try {
    performUnguarded(effect, adapters);
  } catch (error) {
    if (!('requestId' in effect)) throw error;
    const { kind, requestId } = effect;
    const text = error instanceof Error ? (error.stack ?? error.message) : String(error);
    adapters.events.record('effect-failed', { requestId, data: { effect: kind, error: text } });
    // Without a complete answer the caller learns that its request may have run.
    adapters.responders.closeConnection(requestId);
    adapters.loop().post({ to: 'requests', kind: 'caller-disconnected', requestId });
  }
};

const performUnguarded = (effect: EntryEffect, adapters: EntryAdapters): void => {
  const { metrics, responders, tickets, endpoints, platform } = adapters;
  switch (effect.kind) {
    case 'post':
    case 'post-after-reads':
    case 'schedule':
    case 'log':
      performLoopEffect(effect, adapters);
      return;
    case 'record-latency':
      metrics.recordLatency(effect.name, effect.className, effect.duration);
      return;
    case 'reset-requests':
      responders.failAll(REQUEST_STATE_LOST);
      return;
    case 'fetch-list':
      platform.fetchList();
      return;
    case 'read-log':
      platform.readLog(effect.stream, effect.from, effect.waitMs);
      return;
    case 'append-log':
      platform.appendLog(effect.stream, effect.batchId, effect.records);
      return;
    case 'fetch-peer-configuration':
      platform.fetchPeerConfiguration(effect.url);
      return;
    case 'reply-heartbeat':
      adapters.heartbeats.replyHeartbeat(effect.heartbeatId, effect.reply);
      return;
    case 'open-generation':
      endpoints.openGeneration(effect.open);
      return;
    case 'close-link':
      endpoints.closeLink(effect.generationId, effect.link);
      return;
    case 'cancel-generation':
      endpoints.cancelGeneration(effect.url, effect.generationId, effect.incarnation);
      return;
    case 'call-endpoint':
      endpoints.callEndpoint(effect.call);
      return;
    case 'fence-nonce':
      endpoints.fenceNonce(effect.fence);
      return;
    case 'write-chunks':
      writeChunks(effect, adapters);
      return;
    case 'finish-generation':
      responders.finishGeneration(effect.requestId, effect.usage);
      tickets.remove(effect.requestId);
      return;
    case 'send-answer':
      responders.sendAnswer(effect.requestId, effect.answer);
      return;
    case 'fail-request':
      responders.failRequest(effect.requestId, effect.failure);
      tickets.remove(effect.requestId);
      return;
    case 'hand-over':
      endStreamWithTicket(effect, adapters);
      return;
    case 'reply-operator':
      adapters.replyOperator(effect.operationId, effect.outcome);
      return;
    case 'notify-operators':
      sendNotice(effect, adapters);
      return;
    case 'end-process':
      adapters.endProcess(effect.left);
      return;
    default:
      assertNever(effect);
  }
};
