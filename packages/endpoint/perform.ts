import type { EngineClient } from './engine/engineClient.js';
import type { EntryClient } from './heartbeats/entryClient.js';
import type { RpcServer } from './rpc/rpcServer.js';
import type { EndpointEffect, EndpointEvent } from './types.js';
import { assertNever } from '../core/assertNever.js';
import type { EventLog } from '../core/events/eventLog.js';
import { performLoopEffect } from '../core/loop/effects.js';
import type { Loop } from '../core/loop/types.js';

/** Adapters that carry out the effects of an endpoint daemon. */
export interface EndpointAdapters {
  readonly loop: () => Loop<EndpointEvent>;
  readonly events: EventLog;
  readonly engine: EngineClient;
  readonly rpc: RpcServer;
  readonly entries: EntryClient;
  readonly fetchList: () => void;
  readonly endProcess: (left: number) => void;
}

/**
 * Carries out one effect.
 *
 * @param effect - effect of a decision
 * @param adapters - adapters of the daemon
 */
export const performEffect = (effect: EndpointEffect, adapters: EndpointAdapters): void => {
  const { engine, rpc, entries } = adapters;
  switch (effect.kind) {
    case 'post':
    case 'post-after-reads':
    case 'schedule':
    case 'log':
      performLoopEffect(effect, adapters);
      return;
    case 'fetch-list':
      adapters.fetchList();
      return;
    case 'fetch-health':
      engine.fetchHealth();
      return;
    case 'fetch-load':
      engine.fetchLoad();
      return;
    case 'fetch-cache-events':
      engine.fetchCacheEvents(effect.from);
      return;
    case 'start-generation':
      engine.startGeneration(effect.generationId, effect.call, effect.priority);
      return;
    case 'cancel-generation':
      engine.cancelGeneration(effect.generationId);
      return;
    case 'set-engine-flow':
      engine.setFlow(effect.generationId, effect.flow);
      return;
    case 'reset-generations':
      engine.cancelAll();
      rpc.failReaders();
      return;
    case 'reset-calls':
      rpc.failCalls();
      return;
    case 'send-started':
      rpc.sendStarted(effect.callId);
      return;
    case 'send-chunks':
      rpc.sendChunks(effect.callId, effect.firstNumber, effect.choices);
      return;
    case 'send-finished':
      rpc.sendFinished(effect.callId, effect.chunkCount, effect.usage, effect.digest);
      return;
    case 'send-failure':
      rpc.sendFailure(effect.callId, effect.failure);
      return;
    case 'call-service':
      engine.callService(effect.call);
      return;
    case 'reply-answer':
      rpc.replyAnswer(effect.callId, effect.answer);
      return;
    case 'reply-failure':
      rpc.replyFailure(effect.callId, effect.failure);
      return;
    case 'reply-fence':
      rpc.replyFence(effect.callId, effect.result, effect.answer);
      return;
    case 'send-heartbeat':
      entries.sendHeartbeat(effect.to, effect.url, effect.content);
      return;
    case 'end-process':
      adapters.endProcess(effect.left);
      return;
    default:
      assertNever(effect);
  }
};
