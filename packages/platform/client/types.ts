import type { Result } from 'ts-results-es';
import type { Millis } from '../../core/clock.js';
import type { Offset } from '../../core/ids.js';
import type { Failure } from '../../core/verdict.js';
import type { AppendResult } from '../../decisions/idempotency/types.js';

export interface ClientOptions {
  /** Root of the service, such as `http://127.0.0.1:4100`. */
  readonly baseUrl: string;
  /** Longest time for one exchange; a long poll may take its wait in addition. */
  readonly timeoutMs: Millis;
}

/** One record of a stream as the log returns it; the body is not checked yet. */
export interface LogRecord {
  readonly offset: Offset;
  /** Time of the append by the log's clock. */
  readonly at: Millis;
  readonly body: unknown;
}

export interface LogPage {
  readonly records: readonly LogRecord[];
  readonly nextOffset: Offset;
  /** Oldest offset that the log still holds. */
  readonly firstOffset: Offset;
}

export interface ReadOptions {
  readonly from: Offset;
  readonly limit?: number;
  /** How long the log may hold the answer back while there is nothing to read. */
  readonly waitMs?: Millis;
  /** Ends a long poll early. */
  readonly signal?: AbortSignal;
}

export interface LogClient {
  /**
   * Appends records in one request. `rejected` means that nothing was appended; `unknown` means
   * that the records may be appended already, or later.
   */
  readonly append: (stream: string, records: readonly unknown[]) => Promise<AppendResult>;
  /** Reads records from an offset on; fails with `log-unavailable`. */
  readonly read: (stream: string, options: ReadOptions) => Promise<Result<LogPage, Failure>>;
  /** Closes idle connections after the running requests. */
  readonly close: () => Promise<void>;
}

/** One entry of the instance list. */
export interface Instance {
  readonly id: string;
  readonly role: 'entry' | 'endpoint';
  readonly dataCentre: string;
  readonly state: 'live' | 'leaving';
  readonly rpcUrl: string;
  readonly httpUrl: string;
  readonly model?: string | undefined;
  readonly version?: string | undefined;
  readonly service?: string | undefined;
}

export interface ListClient {
  /** Fetches the whole list; it lags behind the platform. */
  readonly fetchInstances: () => Promise<Result<readonly Instance[], Failure>>;
  readonly close: () => Promise<void>;
}

export interface WeightClient {
  /** Fetches weights; `overloaded` with a time of retry when the store limits the rate. */
  readonly fetchWeights: (model: string, version: string) => Promise<Result<Uint8Array, Failure>>;
  readonly close: () => Promise<void>;
}
