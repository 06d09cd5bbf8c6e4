import { request } from 'undici';
import { REQUEST_TIMEOUT_MS } from '../constants.js';

/**
 * Requests a daemon's readiness page.
 *
 * @param url - address of the daemon's pages
 * @returns null when the daemon is ready, otherwise the body of the page or the request's error
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
