import { create } from '@bufbuild/protobuf';
import { Code, ConnectError } from '@connectrpc/connect';
import type { ConnectRouter } from '@connectrpc/connect';
import { createId } from '../../core/ids.js';
import { MESSAGE_FORMAT } from '../../wire/constants.js';
import {
  EntryService,
  HeartbeatResponseSchema,
} from '../../wire/gen/chestnutspan/v1/chestnutspan_pb.js';
import type {
  HeartbeatRequest,
  HeartbeatResponse,
} from '../../wire/gen/chestnutspan/v1/chestnutspan_pb.js';
import { createRpcListener } from '../../wire/rpcListener.js';
import type { RpcMemory } from '../../wire/rpcListener.js';
import type { HeartbeatReply, ReceivedHeartbeat } from '../types.js';

/** RPC server that receives the heartbeats of endpoint daemons. */
export interface HeartbeatServer {
  /** Answers a heartbeat; null refuses it because a newer one was applied. */
  readonly replyHeartbeat: (heartbeatId: string, reply: HeartbeatReply | null) => void;
  /** Starts listening and returns the address. */
  readonly listen: (host: string, port: number) => Promise<string>;
  readonly close: () => Promise<void>;
}

interface PendingHeartbeat {
  readonly resolve: (response: HeartbeatResponse) => void;
  readonly reject: (error: ConnectError) => void;
}

const decodeHeartbeat = (message: HeartbeatRequest): ReceivedHeartbeat => ({
  endpoint: message.endpoint,
  instance: message.instance,
  dataCentre: message.dataCentre,
  incarnation: message.incarnation,
  engineStart: message.engineStart,
  sequence: message.sequence,
  phase: message.phase,
  rpcUrl: message.rpcUrl,
  httpUrl: message.httpUrl,
  model: message.model === '' ? null : message.model,
  version: message.version,
  service: message.service === '' ? null : message.service,
  load: {
    limit: message.load?.limit ?? 0,
    running: message.load?.running ?? 0,
    waiting: message.load?.waiting ?? 0,
    memoryUsedTokens: message.load?.memoryUsedTokens ?? 0,
    memoryTotalTokens: message.load?.memoryTotalTokens ?? 0,
    tokensPerSecond: message.load?.tokensPerSecond ?? 0,
    preemptions: message.load?.preemptions ?? 0,
    prefixes: message.load?.prefixes ?? [],
    ageMs: message.load?.ageMs ?? 0,
    prefixAgeMs: message.load?.prefixAgeMs ?? 0,
    prefixGaps: message.load?.prefixGaps ?? 0,
  },
  evidence: message.evidence,
  configurationOffset: message.configurationOffset,
});

const encodeReply = (reply: HeartbeatReply): HeartbeatResponse =>
  create(HeartbeatResponseSchema, {
    format: MESSAGE_FORMAT,
    watermark: reply.watermark,
    records: reply.records.map(({ offset, at, body }) => ({
      offset,
      at,
      body: JSON.stringify(body),
    })),
    snapshot: reply.snapshot === null ? '' : JSON.stringify(reply.snapshot),
    leaseMs: reply.leaseMs,
  });

/**
 * Creates the server of `EntryService`.
 *
 * @param post - queues a heartbeat; returns `shed` when the queue is full
 * @param memory - memory that the peers can fill; by default of a fixed size
 * @returns the server, not yet listening
 */
export const createHeartbeatServer = (
  post: (heartbeatId: string, heartbeat: ReceivedHeartbeat) => 'queued' | 'shed',
  memory?: RpcMemory,
): HeartbeatServer => {
  const pendingHeartbeats = new Map<string, PendingHeartbeat>();

  const handleHeartbeat = (message: HeartbeatRequest): Promise<HeartbeatResponse> => {
    if (message.format !== MESSAGE_FORMAT) {
      const text = `heartbeat format ${message.format.toString()} is unknown; this process reads ${MESSAGE_FORMAT.toString()}`;
      throw new ConnectError(text, Code.InvalidArgument);
    }
    const heartbeatId = createId();
    return new Promise((resolve, reject) => {
      pendingHeartbeats.set(heartbeatId, { resolve, reject });
      if (post(heartbeatId, decodeHeartbeat(message)) === 'queued') return;
      pendingHeartbeats.delete(heartbeatId);
      reject(new ConnectError('the event queue is full', Code.ResourceExhausted));
    });
  };

  const registerRoutes = (router: ConnectRouter): void => {
    router.service(EntryService, { heartbeat: handleHeartbeat });
  };

  const listener = createRpcListener(registerRoutes, memory);

  return {
    replyHeartbeat: (heartbeatId, reply) => {
      const caller = pendingHeartbeats.get(heartbeatId);
      pendingHeartbeats.delete(heartbeatId);
      if (reply !== null) caller?.resolve(encodeReply(reply));
      else caller?.reject(new ConnectError('a newer heartbeat was received', Code.Aborted));
    },
    listen: listener.listen,
    close: listener.close,
  };
};
