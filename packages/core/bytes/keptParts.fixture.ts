import { setTimeout as sleep } from 'node:timers/promises';
import { openManagedMemory } from '../memory/managedMemory.js';

/**
 * Sends bytes one at a time and counts the parts that their reader still keeps before the end.
 *
 * @param bytes - number of parts
 * @param read - reads all parts
 * @returns number of parts in memory
 */
export const countKeptParts = async (
  bytes: number,
  read: (parts: AsyncIterable<Uint8Array>) => Promise<unknown>,
): Promise<number> => {
  const { collect } = openManagedMemory();
  const parts: WeakRef<Uint8Array>[] = [];
  let kept = 0;
  async function* sendParts() {
    for (let sent = 0; sent < bytes; sent += 1) {
      const part = Buffer.from(new ArrayBuffer(1));
      parts.push(new WeakRef(part));
      yield part;
    }
    // A weak reference keeps its target until the end of the turn in which it was made.
    await sleep(0);
    collect();
    kept = parts.filter((part) => part.deref() !== undefined).length;
  }
  await read(sendParts());
  return kept;
};
