/** A running stand-in. */
export interface Standin {
  /** Base URL on 127.0.0.1. */
  readonly url: string;
  /** Closes all connections and cancels all timers. */
  readonly close: () => Promise<void>;
}
