import type { EndpointClient } from './endpoints/endpointClient.js';
import type { GatewayEffect, GatewayEvent } from './events.js';
import type { CallerServer } from './frontend/callerServer.js';
import type { ConnectionTracker } from './frontend/connections.js';
import type { Responders } from './frontend/responders.js';
import type { PeerSocket } from './peers/peerSocket.js';
import { STORE_RETRY_MS } from './quarantine/constants.js';
import type { QuarantineRecord, QuarantineStore } from './quarantine/types.js';
import type { EngineControl, FeedName, FeedPosition, FeedReader, FeedResult } from './types.js';
import { assertNever } from '../core/assertNever.js';
import type { EventLog } from '../core/events/eventLog.js';
import type { Loop } from '../core/loop/types.js';
import type { DeferredMetrics } from '../core/metrics/deferredMetrics.js';
import { createFailure } from '../core/verdict.js';

/** Adapters that perform the effects of a gateway daemon. */
export interface GatewayAdapters {
  readonly loop: () => Loop<GatewayEvent>;
  readonly events: EventLog;
  readonly metrics: DeferredMetrics;
  readonly responders: Responders;
  readonly connections: ConnectionTracker;
  readonly callers: CallerServer;
  readonly endpoints: EndpointClient;
  readonly peers: PeerSocket;
  readonly feeds: FeedReader;
  readonly engines: EngineControl;
  readonly quarantines: QuarantineStore;
  readonly endProcess: (left: number) => void;
}

const REQUEST_STATE_LOST = createFailure(
  'may-have-run',
  'internal',
  'the gateway daemon lost the state of the request',
);

const postFeedResult = (
  feed: FeedName,
  from: FeedPosition | null,
  pending: Promise<FeedResult>,
  adapters: GatewayAdapters,
): void => {
  void pending.then((result) => {
    adapters.loop().post({ to: 'feeds', kind: 'feed-answered', feed, from, result });
  });
};

const readReport = (
  { address, endpoint }: Extract<GatewayEffect, { kind: 'read-report' }>,
  { engines, loop }: GatewayAdapters,
): void => {
  void engines.readReport(address).then((report) => {
    if (report === null) return;
    loop().post({ to: 'membership', kind: 'report-read', endpoint, report });
  });
};

const startTransfer = (
  { attempt, key, order, source }: Extract<GatewayEffect, { kind: 'start-transfer' }>,
  { engines, loop }: GatewayAdapters,
): void => {
  void engines.transfer(order).then((result) => {
    loop().post({ to: 'requests', kind: 'transfer-ended', key, attempt, source, result });
  });
};

const storeQuarantine = (
  record: QuarantineRecord,
  { loop, quarantines }: GatewayAdapters,
): void => {
  const { fingerprint } = record;
  void quarantines.save(record).then((result) => {
    if (result === 'saved') return;
    loop().schedule(STORE_RETRY_MS, { to: 'quarantine', kind: 'save-due', fingerprint });
  });
};

const probeEndpoint = (
  { address, attempt, key }: Extract<GatewayEffect, { kind: 'probe-endpoint' }>,
  { endpoints, loop }: GatewayAdapters,
): void => {
  void endpoints.probe(address).then((result) => {
    loop().post({ to: 'requests', kind: 'endpoint-probed', key, attempt, result });
  });
};

/**
 * Performs one effect.
 *
 * @param effect - effect of a decision
 * @param adapters - adapters of the daemon
 */
export const performEffect = (effect: GatewayEffect, adapters: GatewayAdapters): void => {
  const {
    callers,
    connections,
    endpoints,
    engines,
    events,
    feeds,
    loop,
    metrics,
    peers,
    quarantines,
    responders,
  } = adapters;
  switch (effect.kind) {
    case 'post':
      loop().post(effect.event);
      return;
    case 'schedule':
      loop().schedule(effect.delayMs, effect.event);
      return;
    case 'log':
      events.record(effect.name, effect.details);
      return;
    case 'count':
      metrics.addCount(effect.name, effect.labels);
      return;
    case 'record-latency':
      metrics.recordLatency(effect.name, effect.route, effect.duration);
      return;
    case 'load-feed':
      postFeedResult(effect.feed, null, feeds.load(effect.feed), adapters);
      return;
    case 'read-feed':
      postFeedResult(
        effect.feed,
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
    case 'read-report':
      readReport(effect, adapters);
      return;
    case 'start-transfer':
      startTransfer(effect, adapters);
      return;
    case 'release-copy':
      void engines.releaseCopy(effect.address, effect.handle);
      return;
    case 'load-quarantines':
      void quarantines.load().then((result) => {
        loop().post({ to: 'quarantine', kind: 'quarantines-loaded', result });
      });
      return;
    case 'save-quarantine':
      storeQuarantine(effect.record, adapters);
      return;
    case 'remove-quarantine':
      // Nothing waits for the result: a record that is not removed expires.
      void quarantines.remove(effect.fingerprint);
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
      if (responders.writeAnswer(effect.key, effect.bytes) === 'written') return;
      // Closes the stream, so that a slow caller does not fill the daemon's memory.
      responders.breakAnswer(effect.key, 'slow-caller');
      loop().post({ to: 'requests', kind: 'caller-disconnected', key: effect.key });
      return;
    case 'end-answer':
      responders.endAnswer(effect.key);
      return;
    case 'send-whole':
      responders.sendWhole(effect.key, effect.head, effect.body);
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
