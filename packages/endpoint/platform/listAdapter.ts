import { createListClient } from '../../platform/listClient.js';
import type { EndpointEvent } from '../types.js';

/**
 * Creates the adapter that reads the instance list.
 *
 * @param listUrl - base URL of the list
 * @param instance - instance of this process
 * @param post - receives the answers
 * @returns a function that starts one read
 */
export const createListAdapter = (
  listUrl: string,
  instance: string,
  post: (event: EndpointEvent) => void,
): (() => void) => {
  const client = createListClient({ baseUrl: listUrl });
  const read = async (): Promise<void> => {
    const result = await client.read();
    if (result.isErr()) {
      post({ to: 'platform', kind: 'list-failed', reason: result.error.message });
      return;
    }
    const instances = result.value;
    const entries = instances
      .filter(({ role }) => role === 'entry')
      .map(({ id, dataCentre, rpcUrl }) => ({ id, dataCentre, rpcUrl }));
    const self = instances.find(({ id }) => id === instance)?.state ?? 'absent';
    post({ to: 'platform', kind: 'list-received', entries, self });
  };
  return () => void read();
};
