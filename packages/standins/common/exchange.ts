import type { FastifyReply, FastifyRequest } from 'fastify';

/** Names an HTTP request that waits for its answer. */
export type ReplyId = number;

export interface Answer {
  readonly status: number;
  readonly body: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Requests that wait for an effect of the decisions to answer them. */
export interface PendingRequests {
  /** Registers a request, posts its event and waits for the answer. */
  readonly handle: (
    request: FastifyRequest,
    reply: FastifyReply,
    post: (id: ReplyId) => void,
  ) => Promise<FastifyReply>;
  readonly answer: (id: ReplyId, answer: Answer) => void;
  /** Ends the connection of a request without an answer. */
  readonly drop: (id: ReplyId) => void;
}

interface PendingRequest {
  readonly request: FastifyRequest;
  readonly settle: (answer: Answer | 'dropped') => void;
}

/**
 * Creates the register of requests that wait for an answer.
 *
 * @returns the empty register
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
