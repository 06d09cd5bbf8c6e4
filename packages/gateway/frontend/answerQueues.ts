import type { ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';

/** Answers that are due on each connection, in the order of their requests. */
export interface AnswerQueues {
  readonly add: (response: ServerResponse) => void;
  /**
   * Closes a connection once all requests that have been read whole on it have their answers.
   */
  readonly closeAfterAnswers: (socket: Duplex, close: () => void) => void;
}

interface AnswerQueue {
  readonly due: Set<ServerResponse>;
  /** Closes the connection after the answers that are due; null to keep it open. */
  close: (() => void) | null;
}

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
      const queue: AnswerQueue = queues.get(socket) ?? { due: new Set(), close: null };
      queues.set(socket, queue);
      queue.due.add(response);
      response.once('close', () => {
        remove(queue, response);
      });
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
