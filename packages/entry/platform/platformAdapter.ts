import { request } from 'undici';
import { PEER_TIMEOUT_MS, READ_LIMIT } from './constants.js';
import type { Millis } from '../../core/clock.js';
import type { Offset } from '../../core/ids.js';
import type { ListClient, LogClient } from '../../platform/client/types.js';
import type { EntryEvent, LogStream } from '../events.js';

/** Adapter between the loop, the platform and peers. */
export interface PlatformAdapter {
  readonly fetchList: () => void;
  readonly readLog: (stream: LogStream, from: Offset, waitMs: Millis) => void;
  readonly appendLog: (stream: LogStream, batchId: number, records: readonly unknown[]) => void;
  readonly fetchPeerConfiguration: (url: string) => void;
  readonly close: () => Promise<void>;
}

/**
 * Creates the adapter to the platform, which posts the result of each request as an event.
 *
 * @param log - client of the log
 * @param list - client of the instance list
 * @param post - posts an event to the loop
 * @returns the adapter
 */
export const createPlatformAdapter = (
  log: LogClient,
  list: ListClient,
  post: (event: EntryEvent) => void,
): PlatformAdapter => {
  const fetchList = async (): Promise<void> => {
    const result = await list.fetchInstances();
    post(
      result.isOk()
        ? { to: 'list', kind: 'list-received', instances: result.value }
        : { to: 'list', kind: 'list-failed', reason: result.error.message },
    );
  };

  const readLog = async (stream: LogStream, from: Offset, waitMs: Millis): Promise<void> => {
    const result = await log.read(stream, { from, limit: READ_LIMIT, waitMs });
    post(
      result.isOk()
        ? { to: stream, kind: 'read-ended', batch: result.value }
        : { to: stream, kind: 'read-failed', reason: result.error.message },
    );
  };

  const appendLog = async (
    stream: LogStream,
    batchId: number,
    records: readonly unknown[],
  ): Promise<void> => {
    const result = await log.append(stream, records);
    post({ to: 'appends', kind: 'append-ended', batchId, result });
  };

  const fetchPeer = async (url: string): Promise<void> => {
    try {
      const answer = await request(`${url}/peer/configuration`, {
        signal: AbortSignal.timeout(PEER_TIMEOUT_MS),
      });
      const snapshot: unknown = await answer.body.json();
      if (answer.statusCode !== 200) throw new Error(`status ${answer.statusCode.toString()}`);
      post({ to: 'control', kind: 'peer-answered', snapshot });
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      post({ to: 'control', kind: 'peer-failed', reason });
    }
  };

  return {
    fetchList: () => void fetchList(),
    readLog: (stream, from, waitMs) => void readLog(stream, from, waitMs),
    appendLog: (stream, batchId, records) => void appendLog(stream, batchId, records),
    fetchPeerConfiguration: (url) => void fetchPeer(url),
    close: async () => {
      await list.close();
      await log.close();
    },
  };
};
