import type { ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';

/** Answers that are due on each connection, in the order of their requests. */
export interface AnswerQueues {
  readonly add: (response: ServerResponse) => void;
  /** Whether a further answer is due on the connection behind this one. */
  readonly hasFurther: (response: ServerResponse) => boolean;
  /** Records that the head of an answer states that it is the last one on its connection. */
  readonly recordLast: (response: ServerResponse) => void;
  /** Whether an earlier answer states that it is the last one on the connection. */
  readonly isBehindLast: (response: ServerResponse) => boolean;
  /**
   * Closes a connection once all requests that have been read whole on it have their answers.
   */
  readonly closeAfterAnswers: (socket: Duplex, close: () => void) => void;
}

interface AnswerQueue {
  readonly due: Set<ServerResponse>;
  last: ServerResponse | null;
  /** Closes the connection after the answers that are due; null to keep it open. */
  close: (() => void) | null;
}

const NO_QUEUE: AnswerQueue = { due: new Set(), last: null, close: null };

const hasWhole = ({ due }: AnswerQueue): boolean => [...due].some(({ req }) => req.complete);

/**
 * Creates the queues of answers. They only observe the connections until one is to be closed.
 *
 * @returns the empty queues
 */
export const createAnswerQueues = (): AnswerQueues => {
  const queues = new WeakMap<Duplex, AnswerQueue>();

  const remove = (queue: AnswerQueue, response: ServerResponse): void => {
    queue.due.delete(response);
    const { close } = queue;
    if (close === null || hasWhole(queue)) return;
    queue.close = null;
    close();
  };

  return {
    add: (response) => {
      const { socket } = response.req;
      const queue: AnswerQueue = queues.get(socket) ?? { due: new Set(), last: null, close: null };
      queues.set(socket, queue);
      queue.due.add(response);
      response.once('close', () => {
        remove(queue, response);
      });
    },
    hasFurther: (response) => {
      const { due } = queues.get(response.req.socket) ?? NO_QUEUE;
      return [...due].at(-1) !== response;
    },
    recordLast: (response) => {
      const queue = queues.get(response.req.socket);
      if (queue !== undefined) queue.last = response;
    },
    isBehindLast: (response) => {
      const { last } = queues.get(response.req.socket) ?? NO_QUEUE;
      return last !== null && last !== response;
    },
    closeAfterAnswers: (socket, close) => {
      const queue = queues.get(socket);
      if (queue === undefined || !hasWhole(queue)) {
        close();
        return;
      }
      if (queue.close !== null) return;
      queue.close = close;
      // The parser that notices the end of the connection has failed.
      socket.once('end', () => {
        socket.destroy();
      });
    },
  };
};
