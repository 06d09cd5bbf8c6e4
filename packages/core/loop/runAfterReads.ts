/**
 * Calls a function after the event loop has read all sockets that have data now. Two turns are needed:
 * the first one may belong to a poll that began before the data arrived.
 *
 * @param run - function to call
 */
export const runAfterReads = (run: () => void): void => {
  setImmediate(() => {
    setImmediate(run);
  });
};
