import type { Millis } from '../../core/clock.js';
import type { ClassName, CustomerId, ModelName } from '../../core/ids.js';

/** The work of a request: a generation or a call of a plain service. */
export type Work =
  | {
      readonly kind: 'generation';
      readonly model: ModelName;
      readonly route: string | undefined;
      readonly delivery: 'stream' | 'whole';
      /** Number of the prompt prefix; requests of a class with the same number share the prefix. */
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

/** A request with its intended arrival time, both fixed before the run starts. */
export interface Arrival {
  /** Position in the order of all arrivals of the run, from 0. */
  readonly number: number;
  /** Time since the start of the run. */
  readonly atMs: Millis;
  readonly className: ClassName;
  readonly customer: CustomerId;
  readonly work: Work;
}
