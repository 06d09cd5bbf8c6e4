import { request } from 'undici';
import { REQUEST_TIMEOUT_MS } from '../constants.js';

/**
 * Asks a daemon's readiness page.
 *
 * @param url - address of the daemon's pages
 * @returns null when it is ready, else what it says or why it does not answer
 */
export const checkReadiness = async (url: string): Promise<string | null> => {
  try {
    const answer = await request(`${url}/readyz`, {
      headersTimeout: REQUEST_TIMEOUT_MS,
      bodyTimeout: REQUEST_TIMEOUT_MS,
    });
    const text = await answer.body.text();
    return answer.statusCode === 200 ? null : text;
  } catch (error) {
    return error instanceof Error ? error.message : String(error);
  }
};
