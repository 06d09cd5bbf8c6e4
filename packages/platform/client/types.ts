import type { Result } from 'ts-results-es';
import type { Millis } from '../../core/clock.js';
import type { Offset } from '../../core/ids.js';
import type { MemoryAccount } from '../../core/memory/types.js';
import type { Failure } from '../../core/verdict.js';
import type { AppendResult } from '../../decisions/idempotency/types.js';

export interface ClientOptions {
  /** Base URL of the service, such as `http://127.0.0.1:4100`. */
  readonly baseUrl: string;
  /** Timeout of one request; the wait of a long poll is added to it. */
  readonly timeoutMs: Millis;
  /** Limit of the body of one response; `MAX_RESPONSE_BYTES` if not given. */
  readonly maxResponseBytes?: number;
  /** Memory of all bodies that are being received; `MAX_TOTAL_BYTES` of its own if not given. */
  readonly memory?: MemoryAccount;
}

/** One record of a stream as the log returns it; its body has not been validated. */
export interface LogRecord {
  readonly offset: Offset;
  /** Time of the append by the log's clock. */
  readonly at: Millis;
  readonly body: unknown;
}

/** Records that one read of a stream returned. */
export interface LogPage {
  readonly records: readonly LogRecord[];
  /** Offset from which the next read continues. */
  readonly nextOffset: Offset;
  /** Oldest offset that the log retains. */
  readonly firstOffset: Offset;
}

export interface ReadOptions {
  readonly from: Offset;
  readonly limit?: number;
  /** Time for which the log may delay the response while it has no records (long poll). */
  readonly waitMs?: Millis;
  /** Aborts a long poll. */
  readonly signal?: AbortSignal;
}

export interface LogClient {
  /**
   * Appends records in one request. `rejected` means that nothing was appended; `unknown` means
   * that the records may have been appended, or may still be.
   */
  readonly append: (stream: string, records: readonly unknown[]) => Promise<AppendResult>;
  /** Reads records from an offset onwards; fails with `log-unavailable`. */
  readonly read: (stream: string, options: ReadOptions) => Promise<Result<LogPage, Failure>>;
  /** Closes all connections, including those with a request in flight. */
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
  /** Fetches the whole list, which lags behind the platform; fails with `no-endpoint`. */
  readonly fetchInstances: () => Promise<Result<readonly Instance[], Failure>>;
  readonly close: () => Promise<void>;
}

export interface WeightClient {
  /** Fetches weights; fails with `overloaded` and a retry delay when the store limits the rate. */
  readonly fetchWeights: (model: string, version: string) => Promise<Result<Uint8Array, Failure>>;
  readonly close: () => Promise<void>;
}
