import type { FastifyReply, FastifyRequest } from 'fastify';

/** Identifies an HTTP request that waits for its answer. */
export type ReplyId = number;

/** Response to an HTTP request. */
export interface Answer {
  readonly status: number;
  readonly body: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

/** HTTP requests that wait until an effect of the decisions answers or drops them. */
export interface PendingRequests {
  /** Registers a request, posts its event and resolves when the request is answered or dropped. */
  readonly handle: (
    request: FastifyRequest,
    reply: FastifyReply,
    post: (id: ReplyId) => void,
  ) => Promise<FastifyReply>;
  readonly answer: (id: ReplyId, answer: Answer) => void;
  /** Closes the connection of a request without an answer. */
  readonly drop: (id: ReplyId) => void;
}

interface PendingRequest {
  readonly request: FastifyRequest;
  readonly settle: (answer: Answer | 'dropped') => void;
}

/**
 * Creates the registry of requests that wait for an answer.
 *
 * @returns the empty registry
 */
export const createPendingRequests = (): PendingRequests => {
  const pending = new Map<ReplyId, PendingRequest>();
  let lastId = 0;

  const settle = (id: ReplyId, outcome: Answer | 'dropped'): void => {
    const entry = pending.get(id);
    pending.delete(id);
    if (outcome === 'dropped') entry?.request.raw.socket.destroy();
    entry?.settle(outcome);
  };

  return {
    handle: async (request, reply, post) => {
      lastId += 1;
      const id = lastId;
      const outcome = await new Promise<Answer | 'dropped'>((resolve) => {
        pending.set(id, { request, settle: resolve });
        post(id);
      });
      if (outcome === 'dropped') return reply.hijack();
      return reply
        .code(outcome.status)
        .headers(outcome.headers ?? {})
        .send(outcome.body);
    },
    answer: settle,
    drop: (id) => {
      settle(id, 'dropped');
    },
  };
};
