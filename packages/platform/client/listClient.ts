import { z } from 'zod';
import { decodeJson, resolveBody } from './responses.js';
import { createHttpClient } from './httpClient.js';
import type { ClientOptions, Instance, ListClient } from './types.js';

const SERVICE = { name: 'the instance list', code: 'no-endpoint' } as const;

const nonEmptyString = z.string().min(1);

const instanceSchema: z.ZodType<Instance> = z.object({
  id: nonEmptyString,
  role: z.enum(['entry', 'endpoint']),
  dataCentre: nonEmptyString,
  state: z.enum(['live', 'leaving']),
  rpcUrl: nonEmptyString,
  httpUrl: nonEmptyString,
  model: nonEmptyString.optional(),
  version: nonEmptyString.optional(),
  service: nonEmptyString.optional(),
});

const listSchema = z.object({ instances: z.array(instanceSchema) });

/**
 * Creates a client of the platform's instance list.
 *
 * @param options - base URL and timeout
 * @returns the client
 */
export const createListClient = (options: ClientOptions): ListClient => {
  const { send, close } = createHttpClient(options);
  return {
    fetchInstances: async () => {
      const body = resolveBody(SERVICE, await send({ method: 'GET', path: '/instances' }));
      return body
        .andThen((bytes) => decodeJson(SERVICE, bytes, listSchema))
        .map(({ instances }) => instances);
    },
    close,
  };
};
