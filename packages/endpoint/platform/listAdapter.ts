import { createListClient } from '../../platform/client/listClient.js';
import { LIST_TIMEOUT_MS } from './constants.js';
import type { EndpointEvent } from '../types.js';

/** Adapter to the instance list. */
export interface ListAdapter {
  /** Starts one read, whose result is posted as an event. */
  readonly fetchList: () => void;
  readonly close: () => Promise<void>;
}

/**
 * Creates the adapter that reads the instance list.
 *
 * @param listUrl - base URL of the list
 * @param instance - id of this process's instance
 * @param post - receives the results as events
 * @returns the adapter
 */
export const createListAdapter = (
  listUrl: string,
  instance: string,
  post: (event: EndpointEvent) => void,
): ListAdapter => {
  const client = createListClient({ baseUrl: listUrl, timeoutMs: LIST_TIMEOUT_MS });
  const read = async (): Promise<void> => {
    const result = await client.fetchInstances();
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
  return { fetchList: () => void read(), close: client.close };
};
