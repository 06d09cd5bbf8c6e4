import { handleResult, reportFault } from './effectResults.js';
import type { GatewayEffect } from './effects.js';
import type { EndpointClient } from './endpoints/endpointClient.js';
import { performControlEffect } from './endpoints/performControl.js';
import type { EngineAdapters } from './endpoints/performControl.js';
import type { GatewayEvent, ProbeResult } from './events.js';
import type { CallerServer } from './frontend/callerServer.js';
import type { ConnectionTracker } from './frontend/connections.js';
import type { Responders } from './frontend/responders.js';
import type { PeerSocket } from './peers/peerSocket.js';
import { performQuarantineEffect } from './quarantine/performStore.js';
import type { QuarantineAdapters } from './quarantine/performStore.js';
import { performUsageEffect } from './usage/perform.js';
import type { UsageAdapters } from './usage/perform.js';
import type { FeedPosition, FeedReader, FeedResult } from './types.js';
import { assertNever } from '../core/assertNever.js';
import type { EventLog } from '../core/events/eventLog.js';
import { performLoopEffect } from '../core/loop/effects.js';
import type { Loop } from '../core/loop/types.js';
import type { DeferredMetrics } from '../core/metrics/deferredMetrics.js';
import { createFailure } from '../core/verdict.js';

/** Adapters that perform the effects of a gateway daemon. */
export interface GatewayAdapters extends EngineAdapters, QuarantineAdapters, UsageAdapters {
  readonly loop: () => Loop<GatewayEvent>;
  readonly events: EventLog;
  readonly metrics: DeferredMetrics;
  readonly responders: Responders;
  readonly connections: ConnectionTracker;
  readonly callers: CallerServer;
  readonly endpoints: EndpointClient;
  readonly peers: PeerSocket;
  readonly feeds: FeedReader;
  readonly endProcess: (left: number) => void;
}

const REQUEST_STATE_LOST = createFailure(
  'may-have-run',
  'internal',
  'the gateway daemon lost the state of the request',
);

const postFeedResult = (
  { feed, kind }: Extract<GatewayEffect, { kind: 'load-feed' | 'read-feed' }>,
  from: FeedPosition | null,
  pending: Promise<FeedResult>,
  adapters: GatewayAdapters,
): void => {
  handleResult<FeedResult>(
    kind,
    pending,
    adapters.events,
    (message) => ({ kind: 'failed', message, triedMs: 0 }),
    (result) => {
      adapters.loop().post({ to: 'feeds', kind: 'feed-answered', feed, from, result });
    },
  );
};

const probeEndpoint = (
  { address, attempt, key, kind }: Extract<GatewayEffect, { kind: 'probe-endpoint' }>,
  adapters: GatewayAdapters,
): void => {
  handleResult<ProbeResult>(
    kind,
    adapters.endpoints.probe(address),
    adapters.events,
    () => 'silent',
    (result) => {
      adapters.loop().post({ to: 'requests', kind: 'endpoint-probed', key, attempt, result });
    },
  );
};

/** Closes answers that their callers do not read, so that they do not fill the daemon's memory. */
const endSlowCallers = (keys: readonly number[], { loop, responders }: GatewayAdapters): void => {
  for (const key of keys) {
    responders.breakAnswer(key, 'slow-caller');
    loop().post({ to: 'requests', kind: 'caller-disconnected', key });
  }
};

const getRequestKey = (effect: GatewayEffect): number | null => {
  if (effect.kind === 'open-attempt') return effect.order.key;
  return 'key' in effect ? effect.key : null;
};

/**
 * Performs one effect. An unexpected error of an effect for one request ends that request only; any
 * other one is thrown and ends the daemon.
 *
 * @param effect - effect of a decision
 * @param adapters - adapters of the daemon
 * @throws the error of an effect that belongs to no request
 */
export const performEffect = (effect: GatewayEffect, adapters: GatewayAdapters): void => {
  try {
    performUnguarded(effect, adapters);
  } catch (error) {
    const key = getRequestKey(effect);
    if (key === null) throw error;
    reportFault(effect.kind, error, adapters.events);
    // Without a complete answer the caller learns that its request may have run.
    adapters.responders.breakAnswer(key, 'state-lost');
    adapters.loop().post({ to: 'requests', kind: 'caller-disconnected', key });
  }
};

const performUnguarded = (effect: GatewayEffect, adapters: GatewayAdapters): void => {
  const { callers, connections, endpoints, feeds, metrics, peers, responders } = adapters;
  switch (effect.kind) {
    case 'post':
    case 'post-after-reads':
    case 'schedule':
    case 'log':
      performLoopEffect(effect, adapters);
      return;
    case 'count':
      metrics.addCount(effect.name, effect.labels);
      return;
    case 'record-latency':
      metrics.recordLatency(effect.name, effect.route, effect.duration);
      return;
    case 'load-feed':
      postFeedResult(effect, null, feeds.load(effect.feed), adapters);
      return;
    case 'read-feed':
      postFeedResult(
        effect,
        effect.position,
        feeds.read(effect.feed, effect.position, effect.waitMs),
        adapters,
      );
      return;
    case 'send-peers':
      peers.send(effect.hosts, effect.message);
      return;
    case 'open-attempt':
      connections.recordAttempt(effect.order.key);
      endpoints.open(effect.order);
      return;
    case 'send-attempt':
      endpoints.send(effect.key, effect.attempt, effect.leftMs);
      return;
    case 'read-report':
    case 'start-transfer':
    case 'stop-run':
    case 'release-copy':
    case 'check-run':
      performControlEffect(effect, adapters);
      return;
    case 'load-quarantines':
    case 'save-quarantine':
    case 'remove-quarantines':
      performQuarantineEffect(effect, adapters);
      return;
    case 'load-lease':
    case 'append-lease':
    case 'report-usage':
    case 'send-usage':
      performUsageEffect(effect, adapters, (pending, toFailure, handle) => {
        handleResult(effect.kind, pending, adapters.events, toFailure, handle);
      });
      return;
    case 'probe-endpoint':
      probeEndpoint(effect, adapters);
      return;
    case 'cancel-attempt':
      endpoints.cancel(effect.key, effect.attempt);
      return;
    case 'start-answer':
      responders.startAnswer(effect.key, effect.head);
      return;
    case 'write-answer':
      endSlowCallers(responders.writeAnswer(effect.key, effect.bytes), adapters);
      return;
    case 'end-answer':
      endSlowCallers(responders.endAnswer(effect.key), adapters);
      return;
    case 'send-whole':
      endSlowCallers(responders.sendWhole(effect.key, effect.head, effect.body), adapters);
      return;
    case 'refuse':
      responders.refuse(effect.key, effect.failure);
      return;
    case 'break-answer':
      responders.breakAnswer(effect.key, 'answer-broken');
      return;
    case 'reset-requests':
      endpoints.close();
      responders.refuseAll(REQUEST_STATE_LOST);
      return;
    case 'apply-limits':
      callers.applyLimits(effect.idleTimeoutMs, effect.headerTimeoutMs, effect.maxBodyBytes);
      return;
    case 'close-idle':
      callers.closeIdle();
      return;
    case 'end-process':
      adapters.endProcess(effect.left);
      return;
    default:
      assertNever(effect);
  }
};
