import { getHeapStatistics, setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import type { ManagedMemory } from './types.js';

/**
 * Opens the memory of this process that its garbage collector manages: the heap, and the buffers that
 * objects of the heap hold outside it.
 *
 * @returns the managed memory
 */
export const openManagedMemory = (): ManagedMemory => {
  // Contexts that are created from here on have the function, also without the flag at the start.
  setFlagsFromString('--expose-gc');
  const collectGarbage = runInNewContext('gc') as (options?: { readonly type: 'minor' }) => void;
  return {
    readUsedBytes: () => {
      const { external_memory, used_heap_size } = getHeapStatistics();
      return used_heap_size + external_memory;
    },
    collect: () => {
      collectGarbage();
      // Buffers are freed by another thread; the next collection waits for it and counts them.
      collectGarbage({ type: 'minor' });
    },
  };
};
