import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { request } from 'undici';
import { z } from 'zod';
import type { Millis } from '../core/clock.js';

const instancesSchema = z.object({
  instances: z.array(
    z.object({
      id: z.string(),
      role: z.enum(['entry', 'endpoint']),
      dataCentre: z.string(),
      state: z.enum(['live', 'leaving']),
      rpcUrl: z.string(),
      httpUrl: z.string(),
    }),
  ),
});

export type ListedInstance = Readonly<z.output<typeof instancesSchema>['instances'][number]>;

export interface ListProblem {
  readonly message: string;
}

export interface ListClient {
  readonly read: () => Promise<Result<readonly ListedInstance[], ListProblem>>;
}

const DEFAULT_TIMEOUT_MS: Millis = 2_000;

/**
 * Creates a client of the platform's instance list.
 *
 * @param options - base URL and time limit of one read
 * @returns the client
 */
export const createListClient = (options: {
  readonly baseUrl: string;
  readonly timeoutMs?: Millis;
}): ListClient => ({
  read: async () => {
    try {
      const answer = await request(`${options.baseUrl}/instances`, {
        signal: AbortSignal.timeout(options.timeoutMs ?? DEFAULT_TIMEOUT_MS),
      });
      const body: unknown = await answer.body.json();
      if (answer.statusCode !== 200) {
        return Err({ message: `the list answered ${answer.statusCode.toString()}` });
      }
      const parsed = instancesSchema.safeParse(body);
      if (parsed.success) return Ok(parsed.data.instances);
      return Err({ message: z.prettifyError(parsed.error) });
    } catch (error) {
      return Err({ message: error instanceof Error ? error.message : String(error) });
    }
  },
});
