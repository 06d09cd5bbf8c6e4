import { create } from '@bufbuild/protobuf';
import { createClient } from '@connectrpc/connect';
import type { Client } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import type { Http2SessionManager } from '@connectrpc/connect-node';
import { parseJsonText } from '../../core/jsonText.js';
import type { RawRecord } from '../../decisions/configuration/types.js';
import { createPeerSession } from '../../wire/rpcListener.js';
import { MAX_MESSAGE_BYTES, MESSAGE_FORMAT } from '../../wire/constants.js';
import {
  EntryService,
  HeartbeatRequestSchema,
} from '../../wire/gen/chestnutspan/v1/chestnutspan_pb.js';
import type {
  HeartbeatRequest,
  HeartbeatResponse,
  LogRecord,
} from '../../wire/gen/chestnutspan/v1/chestnutspan_pb.js';
import type { EndpointEvent, HeartbeatAnswer, HeartbeatContent } from '../types.js';

/** Identity of this process, sent in every heartbeat. */
export interface HeartbeatIdentity {
  readonly endpoint: string;
  readonly instance: string;
  readonly dataCentre: string;
  readonly incarnation: string;
  readonly model: string;
  readonly version: string;
  readonly service: string;
  readonly rpcUrl: string;
  readonly httpUrl: string;
}

/** Adapter that sends heartbeats to entry daemons. */
export interface EntryClient {
  readonly sendHeartbeat: (to: string, url: string, content: HeartbeatContent) => void;
  readonly close: () => void;
}

const encodeHeartbeat = (
  identity: HeartbeatIdentity,
  content: HeartbeatContent,
): HeartbeatRequest =>
  create(HeartbeatRequestSchema, {
    ...identity,
    format: MESSAGE_FORMAT,
    sequence: content.sequence,
    engineStart: content.engineStart,
    phase: content.phase,
    configurationOffset: content.configurationOffset,
    load: {
      limit: content.limit,
      running: content.load.running,
      waiting: content.load.waiting,
      memoryUsedTokens: content.load.memoryUsedTokens,
      memoryTotalTokens: content.load.memoryTotalTokens,
      tokensPerSecond: content.load.tokensPerSecond,
      preemptions: content.load.preemptions,
      ageMs: content.load.ageMs,
      prefixes: [...content.prefixes],
      prefixAgeMs: content.prefixAgeMs,
      prefixGaps: content.prefixGaps,
    },
    evidence: content.evidence.map((counters) => ({ ...counters })),
  });

/**
 * A record with malformed JSON gets no body but keeps its offset, so that the others are applied.
 */
const decodeRecord = ({ offset, at, body }: LogRecord): RawRecord => ({
  offset,
  at,
  body: parseJsonText(body).unwrapOr(undefined),
});

const decodeSnapshot = (json: string): unknown => {
  if (json === '') return null;
  return parseJsonText(json).unwrapOr(undefined);
};

const decodeAnswer = (message: HeartbeatResponse): HeartbeatAnswer => {
  if (message.format !== MESSAGE_FORMAT) {
    throw new Error(
      `format ${message.format.toString()} of the heartbeat's answer is unknown; this process reads ${MESSAGE_FORMAT.toString()}`,
    );
  }
  return {
    watermark: message.watermark,
    records: message.records.map(decodeRecord),
    snapshot: decodeSnapshot(message.snapshot),
    leaseMs: message.leaseMs,
  };
};

interface Connection {
  readonly client: Client<typeof EntryService>;
  readonly manager: Http2SessionManager;
}

/**
 * Creates the adapter that sends heartbeats to entry daemons.
 *
 * @param getIdentity - returns the identity of this process, which is known once it listens
 * @param timeoutMs - time after which a heartbeat counts as lost, in milliseconds
 * @param post - receives the answers and failures as events
 * @returns the adapter
 */
export const createEntryClient = (
  getIdentity: () => HeartbeatIdentity,
  timeoutMs: number,
  post: (event: EndpointEvent) => void,
): EntryClient => {
  const connections = new Map<string, Connection>();

  const connect = (url: string): Connection => {
    const known = connections.get(url);
    if (known !== undefined) return known;
    const manager = createPeerSession(url);
    const transport = createConnectTransport({
      baseUrl: url,
      httpVersion: '2',
      sessionManager: manager,
      readMaxBytes: MAX_MESSAGE_BYTES,
    });
    const connection = { client: createClient(EntryService, transport), manager };
    connections.set(url, connection);
    return connection;
  };

  const send = async (to: string, url: string, content: HeartbeatContent): Promise<void> => {
    try {
      const message = encodeHeartbeat(getIdentity(), content);
      const response = await connect(url).client.heartbeat(message, { timeoutMs });
      post({
        to: 'heartbeats',
        kind: 'acknowledged',
        from: to,
        sequence: content.sequence,
        answer: decodeAnswer(response),
      });
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      post({ to: 'heartbeats', kind: 'heartbeat-failed', url, reason });
    }
  };

  return {
    sendHeartbeat: (to, url, content) => void send(to, url, content),
    close: () => {
      for (const { manager } of connections.values()) manager.abort();
      connections.clear();
    },
  };
};
