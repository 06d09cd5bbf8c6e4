import { request } from 'undici';
import { REQUEST_TIMEOUT_MS } from '../constants.js';
import type { ClusterEffect, ProcessesEvent } from '../processes/types.js';

/** Client that changes the platform's instance list, as the platform itself does in production. */
export interface InstanceListClient {
  readonly register: (effect: Extract<ClusterEffect, { kind: 'list-instance' }>) => void;
  readonly deregister: (effect: Extract<ClusterEffect, { kind: 'unlist-instance' }>) => void;
  /** Resolves when all changes so far have been answered. */
  readonly waitUntilIdle: () => Promise<void>;
}

export interface InstanceListClientOptions {
  readonly getPlatformUrl: () => string;
  readonly post: (event: ProcessesEvent) => void;
}

/**
 * Creates the client. It sends one change at a time, so that the removal of an exited process
 * cannot overtake its registration.
 *
 * @param options - address of the platform stand-in, and receiver of events
 * @returns the client
 */
export const createInstanceListClient = ({
  getPlatformUrl,
  post,
}: InstanceListClientOptions): InstanceListClient => {
  let lastChange: Promise<void> = Promise.resolve();

  const send = async (method: 'PUT' | 'DELETE', id: string, body?: object): Promise<void> => {
    const answer = await request(`${getPlatformUrl()}/instances/${encodeURIComponent(id)}`, {
      method,
      headers: body === undefined ? {} : { 'content-type': 'application/json' },
      body: body === undefined ? null : JSON.stringify(body),
      headersTimeout: REQUEST_TIMEOUT_MS,
      bodyTimeout: REQUEST_TIMEOUT_MS,
    });
    const text = await answer.body.text();
    if (answer.statusCode !== 200) throw new Error(`${answer.statusCode.toString()} ${text}`);
  };

  const performChange = (name: string, run: number, change: () => Promise<void>): Promise<void> =>
    change().catch((error: unknown) => {
      const problem = `a change of the instance list failed: ${String(error)}`;
      post({ kind: 'list-failed', name, run, problem });
    });

  return {
    register: ({ name, run, role, listing, state, rpcUrl, httpUrl }) => {
      const { id, ...fields } = listing;
      lastChange = lastChange.then(() =>
        performChange(name, run, async () => {
          await send('PUT', id, { ...fields, role, state, rpcUrl, httpUrl });
          post({ kind: 'listed', name, run, state });
        }),
      );
    },
    deregister: ({ name, run, id }) => {
      lastChange = lastChange.then(() => performChange(name, run, () => send('DELETE', id)));
    },
    waitUntilIdle: () => lastChange,
  };
};
