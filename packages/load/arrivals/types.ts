import type { Millis } from '../../core/clock.js';
import type { ClassName, CustomerId, ModelName } from '../../core/ids.js';

/** What one request asks for. */
export type Work =
  | {
      readonly kind: 'generation';
      readonly model: ModelName;
      readonly route: string | undefined;
      readonly delivery: 'stream' | 'whole';
      /** Number of the prompt prefix that the request shares with others. */
      readonly prefix: number;
      readonly promptTokens: number;
      readonly outputTokens: number;
    }
  | { readonly kind: 'lookup'; readonly service: string; readonly account: string }
  | {
      readonly kind: 'execution';
      readonly service: string;
      readonly route: 'sweeps' | 'pickups' | 'credits';
      readonly amount: number;
    };

/** One request with its intended time, fixed before the run starts. */
export interface Arrival {
  /** Order in the whole run, from 0. */
  readonly number: number;
  /** Time since the start of the run. */
  readonly atMs: Millis;
  readonly className: ClassName;
  readonly customer: CustomerId;
  readonly work: Work;
}
