import type { EndpointClient } from './endpoints/endpointClient.js';
import type { GatewayEffect } from './effects.js';
import type { GatewayEvent, ProbeResult } from './events.js';
import type { CallerServer } from './frontend/callerServer.js';
import type { ConnectionTracker } from './frontend/connections.js';
import type { Responders } from './frontend/responders.js';
import type { PeerSocket } from './peers/peerSocket.js';
import { STORE_RETRY_MS } from './quarantine/constants.js';
import { findRun } from './requests/runState.js';
import type { QuarantineLoad, QuarantineRecord, QuarantineStore } from './quarantine/types.js';
import { performUsageEffect } from './usage/perform.js';
import type { UsageAdapters } from './usage/perform.js';
import type {
  ControlAnswer,
  EngineControl,
  FeedPosition,
  FeedReader,
  FeedResult,
  ReportAnswer,
  TransferResult,
} from './types.js';
import { assertNever } from '../core/assertNever.js';
import type { EventLog } from '../core/events/eventLog.js';
import { performLoopEffect } from '../core/loop/effects.js';
import type { Loop } from '../core/loop/types.js';
import type { DeferredMetrics } from '../core/metrics/deferredMetrics.js';
import { createFailure } from '../core/verdict.js';
import type { EndpointIncarnation } from '../decisions/forwarding/types.js';
import type { Fingerprint } from '../decisions/quarantine/types.js';

/** Adapters that perform the effects of a gateway daemon. */
export interface GatewayAdapters extends UsageAdapters {
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

const toMessage = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);

const reportFault = (kind: GatewayEffect['kind'], error: unknown, events: EventLog): void => {
  const text = error instanceof Error ? (error.stack ?? error.message) : String(error);
  events.record('effect-failed', { data: { effect: kind, error: text } });
};

/**
 * Waits for the result of an effect. Adapters return failures as results; a rejection is a defect,
 * which is reported and counts as a failure, since it would otherwise end the process.
 */
const handleResult = <Value>(
  kind: GatewayEffect['kind'],
  pending: Promise<Value>,
  { events }: GatewayAdapters,
  toFailure: (message: string) => Value,
  handle: (result: Value) => void,
): void => {
  pending
    .catch((error: unknown) => {
      reportFault(kind, error, events);
      return toFailure(toMessage(error));
    })
    .then(handle)
    .catch((error: unknown) => {
      reportFault(kind, error, events);
    });
};

const postFeedResult = (
  { feed, kind }: Extract<GatewayEffect, { kind: 'load-feed' | 'read-feed' }>,
  from: FeedPosition | null,
  pending: Promise<FeedResult>,
  adapters: GatewayAdapters,
): void => {
  handleResult<FeedResult>(
    kind,
    pending,
    adapters,
    (message) => ({ kind: 'failed', message, triedMs: 0 }),
    (result) => {
      adapters.loop().post({ to: 'feeds', kind: 'feed-answered', feed, from, result });
    },
  );
};

/** Handles the answer to a control call, after what the endpoint says of itself in it. */
const handleAnswer = <Value>(
  kind: GatewayEffect['kind'],
  endpoint: EndpointIncarnation,
  pending: Promise<ControlAnswer<Value>>,
  adapters: GatewayAdapters,
  toFailure: (message: string) => Value,
  handle: (value: Value) => void,
): void => {
  handleResult<ControlAnswer<Value>>(
    kind,
    pending,
    adapters,
    (message) => ({ value: toFailure(message), statements: [] }),
    ({ statements, value }) => {
      if (statements.length > 0)
        adapters.loop().post({
          to: 'statements',
          kind: 'endpoint-answered',
          endpoint,
          request: null,
          statements,
        });
      handle(value);
    },
  );
};

const toUnanswered = (): ReportAnswer => ({ kind: 'unanswered' });

const readReport = (
  { endpoint, kind }: Extract<GatewayEffect, { kind: 'read-report' }>,
  adapters: GatewayAdapters,
): void => {
  handleAnswer<ReportAnswer>(
    kind,
    endpoint,
    adapters.engines.readReport(endpoint.address),
    adapters,
    toUnanswered,
    (answer) => {
      if (answer.kind !== 'reported') return;
      const { id } = endpoint;
      const { report } = answer;
      adapters.loop().post({ to: 'membership', kind: 'report-read', endpoint: id, report });
    },
  );
};

const toFailedTransfer = (message: string): TransferResult => ({ kind: 'failed', message });

const startTransfer = (
  { attempt, key, kind, order, source }: Extract<GatewayEffect, { kind: 'start-transfer' }>,
  adapters: GatewayAdapters,
): void => {
  const pending = adapters.engines.transfer(order);
  handleAnswer<TransferResult>(kind, source, pending, adapters, toFailedTransfer, (result) => {
    adapters.loop().post({ to: 'requests', kind: 'transfer-ended', key, attempt, source, result });
  });
};

const stopRun = (
  { attempt, key, kind, order, source }: Extract<GatewayEffect, { kind: 'stop-run' }>,
  adapters: GatewayAdapters,
): void => {
  const pending = adapters.engines.stopRun(order);
  handleAnswer<TransferResult>(kind, source, pending, adapters, toFailedTransfer, (result) => {
    const event = { to: 'requests', kind: 'run-stop-answered', key, attempt } as const;
    adapters.loop().post({ ...event, source, result });
  });
};

/** Nothing waits for the result: a copy that is not released expires. */
const releaseCopy = (
  { handle, kind, source }: Extract<GatewayEffect, { kind: 'release-copy' }>,
  adapters: GatewayAdapters,
): void => {
  handleAnswer<null>(
    kind,
    source,
    adapters.engines.releaseCopy(source.address, handle),
    adapters,
    () => null,
    () => undefined,
  );
};

const loadQuarantines = (adapters: GatewayAdapters): void => {
  handleResult<QuarantineLoad>(
    'load-quarantines',
    adapters.quarantines.load(),
    adapters,
    (message) => ({ kind: 'failed', message }),
    (result) => {
      adapters.loop().post({ to: 'quarantine', kind: 'quarantines-loaded', result });
    },
  );
};

const storeQuarantine = (record: QuarantineRecord, adapters: GatewayAdapters): void => {
  const { fingerprint } = record;
  handleResult<'saved' | 'failed'>(
    'save-quarantine',
    adapters.quarantines.save(record),
    adapters,
    () => 'failed',
    (result) => {
      if (result === 'saved') return;
      const event = { to: 'quarantine', kind: 'save-due', fingerprint } as const;
      adapters.loop().schedule(STORE_RETRY_MS, event);
    },
  );
};

/** Nothing waits for the result: a record that is not removed expires. */
const removeQuarantines = (
  fingerprints: readonly Fingerprint[],
  adapters: GatewayAdapters,
): void => {
  handleResult<'saved' | 'failed'>(
    'remove-quarantines',
    adapters.quarantines.remove(fingerprints),
    adapters,
    () => 'failed',
    () => undefined,
  );
};

const probeEndpoint = (
  { address, attempt, key, kind }: Extract<GatewayEffect, { kind: 'probe-endpoint' }>,
  adapters: GatewayAdapters,
): void => {
  handleResult<ProbeResult>(
    kind,
    adapters.endpoints.probe(address),
    adapters,
    () => 'silent',
    (result) => {
      adapters.loop().post({ to: 'requests', kind: 'endpoint-probed', key, attempt, result });
    },
  );
};

const checkRun = (
  { attempt, endpoint, key, kind, requestId }: Extract<GatewayEffect, { kind: 'check-run' }>,
  adapters: GatewayAdapters,
): void => {
  handleAnswer<ReportAnswer>(
    kind,
    endpoint,
    adapters.engines.readReport(endpoint.address),
    adapters,
    toUnanswered,
    (answer) => {
      const run = findRun(answer, requestId);
      adapters.loop().post({ to: 'requests', kind: 'run-checked', key, attempt, run });
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
      readReport(effect, adapters);
      return;
    case 'start-transfer':
      startTransfer(effect, adapters);
      return;
    case 'stop-run':
      stopRun(effect, adapters);
      return;
    case 'release-copy':
      releaseCopy(effect, adapters);
      return;
    case 'load-lease':
    case 'append-lease':
    case 'report-usage':
    case 'send-usage':
      performUsageEffect(effect, adapters, (pending, toFailure, handle) => {
        handleResult(effect.kind, pending, adapters, toFailure, handle);
      });
      return;
    case 'load-quarantines':
      loadQuarantines(adapters);
      return;
    case 'save-quarantine':
      storeQuarantine(effect.record, adapters);
      return;
    case 'remove-quarantines':
      removeQuarantines(effect.fingerprints, adapters);
      return;
    case 'probe-endpoint':
      probeEndpoint(effect, adapters);
      return;
    case 'check-run':
      checkRun(effect, adapters);
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
