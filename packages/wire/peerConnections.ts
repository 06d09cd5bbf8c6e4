import { constants } from 'node:http2';
import type { Http2ServerRequest, Http2Session } from 'node:http2';
import { createConnectionLimit } from '../core/http/connectionLimit.js';
import type { ConnectionCost } from '../core/http/connectionLimit.js';

/** Connections of the peers of a listener, within the memory for them. */
export interface PeerConnections {
  readonly add: (session: Http2Session) => void;
  readonly remove: (session: Http2Session) => void;
  /** Records a call whose message has not arrived; its connection may be closed to make room. */
  readonly beginMessage: (request: Http2ServerRequest) => void;
  /** Records that a call has its message; its connection stays open until the call ends. */
  readonly beginWork: (request: Http2ServerRequest) => void;
  /** Number of connections that the listener may accept; it drops further ones. */
  readonly maxConnections: number;
}

/**
 * Refuses a call that no service has seen; the code tells the peer that it did not run.
 *
 * @param request - call whose handler has not been called
 */
export const refuseCall = ({ stream }: Http2ServerRequest): void => {
  stream.close(constants.NGHTTP2_REFUSED_STREAM);
};

/**
 * Creates the owner of the connections. Those without a running call make room for new ones, so that peers
 * whose messages never end cannot keep others out.
 *
 * @param costs - memory of one connection
 * @returns the owner of no connections
 */
export const createPeerConnections = (costs: readonly ConnectionCost[]): PeerConnections => {
  /** Calls without their messages. */
  const unread = new Map<Http2Session, Set<Http2ServerRequest>>();

  const endMessage = (session: Http2Session, request: Http2ServerRequest): void => {
    const requests = unread.get(session);
    requests?.delete(request);
    if (requests?.size === 0) unread.delete(session);
  };

  const close = (session: Http2Session): void => {
    const requests = unread.get(session);
    if (requests === undefined) {
      session.destroy();
      return;
    }
    for (const request of requests) refuseCall(request);
    // The refusals are sent before the connection ends.
    setImmediate(() => {
      session.destroy();
    });
  };

  const limit = createConnectionLimit<Http2Session>({ costs, close });
  return {
    add: limit.add,
    remove: limit.remove,
    beginMessage: (request) => {
      const { session } = request.stream;
      if (session === undefined) return;
      limit.touch(session);
      const requests = unread.get(session) ?? new Set();
      unread.set(session, requests.add(request));
      request.stream.once('close', () => {
        endMessage(session, request);
      });
    },
    beginWork: (request) => {
      const { session } = request.stream;
      if (session === undefined) return;
      endMessage(session, request);
      limit.begin(session);
      request.stream.once('close', () => {
        limit.end(session);
      });
    },
    maxConnections: limit.maxConnections,
  };
};
