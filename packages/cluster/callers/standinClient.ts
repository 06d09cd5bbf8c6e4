import { request } from 'undici';
import { z } from 'zod';

const EXECUTIONS_SCHEMA = z.object({ count: z.number() });

/**
 * Fetches how often a ledger stand-in executed calls with an idempotency key.
 *
 * @param inspectionUrl - address of the ledger's inspection pages
 * @param key - idempotency key
 * @returns the number of executions
 */
export const countExecutions = async (inspectionUrl: string, key: string): Promise<number> => {
  const answer = await request(`${inspectionUrl}/executions?key=${encodeURIComponent(key)}`);
  return EXECUTIONS_SCHEMA.parse(await answer.body.json()).count;
};

const STATS_SCHEMA = z.object({ requests: z.record(z.string(), z.number()) });

/**
 * Counts how often engine stand-ins started a generation with a request id.
 *
 * @param engineUrls - addresses of the engines
 * @param requestId - request id that the caller sent
 * @returns the number of generations, summed over the engines
 */
export const countGenerations = async (
  engineUrls: readonly string[],
  requestId: string,
): Promise<number> => {
  let count = 0;
  for (const url of engineUrls) {
    const answer = await request(`${url}/standin/stats`);
    count += STATS_SCHEMA.parse(await answer.body.json()).requests[requestId] ?? 0;
  }
  return count;
};

/**
 * Injects a fault into a stand-in.
 *
 * @param url - address of the stand-in, or of the inspection pages of a ledger
 * @param fault - body of `POST /faults`
 * @throws Error when the stand-in refuses the fault
 */
export const applyFault = async (url: string, fault: object): Promise<void> => {
  const answer = await request(`${url}/faults`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(fault),
  });
  const text = await answer.body.text();
  if (answer.statusCode !== 200) throw new Error(`${url} refused the fault: ${text}`);
};
