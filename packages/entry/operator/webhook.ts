import { request } from 'undici';
import { WEBHOOK_TIMEOUT_MS } from './constants.js';
import type { OperatorNotice } from '../events.js';
import type { EventLog } from '../../core/events/eventLog.js';

/**
 * Creates the adapter that posts notices to the operators' webhook.
 *
 * @param url - URL that receives notices as JSON, or undefined to send none
 * @param events - event log, which records sent and failed notices
 * @returns a function that sends one notice and resolves to `sent` if the status is below 300, to
 *   `failed` on any error, and to `no-address` without a URL
 */
export const createNotifier = (
  url: string | undefined,
  events: EventLog,
): ((notice: OperatorNotice) => Promise<'sent' | 'failed' | 'no-address'>) => {
  const send = async (address: string, notice: OperatorNotice): Promise<'sent' | 'failed'> => {
    const { id, entity } = notice;
    try {
      const answer = await request(address, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(notice),
        signal: AbortSignal.timeout(WEBHOOK_TIMEOUT_MS),
      });
      await answer.body.dump();
      if (answer.statusCode >= 300) throw new Error(`status ${answer.statusCode.toString()}`);
      events.record('notification-sent', { entity, data: { id, event: notice.event } });
      return 'sent';
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      events.record('notification-failed', { entity, data: { id, event: notice.event, reason } });
      return 'failed';
    }
  };
  return (notice) => (url === undefined ? Promise.resolve('no-address') : send(url, notice));
};
