/** Unbounded queue from the loop, which pushes items, to one asynchronous reader. */
export interface AsyncQueue<Item> extends AsyncIterable<Item> {
  readonly push: (item: Item) => void;
  /** Ends the queue after the items already pushed; later pushes are ignored. */
  readonly end: () => void;
}

/**
 * Creates a queue for a single reader.
 *
 * @returns the empty queue
 */
export const createAsyncQueue = <Item>(): AsyncQueue<Item> => {
  let items: Item[] = [];
  let state: 'open' | 'ended' = 'open';
  let wake: (() => void) | undefined;

  const notify = (): void => {
    wake?.();
    wake = undefined;
  };

  async function* readItems(): AsyncGenerator<Item> {
    for (;;) {
      const batch = items;
      items = [];
      yield* batch;
      if (items.length > 0) continue;
      if (state === 'ended') return;
      await new Promise<void>((resolve) => {
        wake = resolve;
      });
    }
  }

  return {
    push: (item) => {
      if (state === 'ended') return;
      items.push(item);
      notify();
    },
    end: () => {
      state = 'ended';
      notify();
    },
    [Symbol.asyncIterator]: readItems,
  };
};
