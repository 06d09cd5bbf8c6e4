import { resolveBody } from './responses.js';
import { createHttpClient } from './httpClient.js';
import type { ClientOptions, WeightClient } from './types.js';

const SERVICE = { name: 'the weight store', code: 'unknown-model' } as const;

/**
 * Creates a client of the platform's weight store.
 *
 * @param options - base URL and timeout
 * @returns the client
 */
export const createWeightClient = (options: ClientOptions): WeightClient => {
  const { send, close } = createHttpClient(options);
  return {
    fetchWeights: async (model, version) => {
      const path = `/weights/${encodeURIComponent(model)}/${encodeURIComponent(version)}`;
      return resolveBody(SERVICE, await send({ method: 'GET', path }));
    },
    close,
  };
};
