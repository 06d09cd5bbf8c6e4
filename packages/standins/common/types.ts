/** A running stand-in. */
export interface Standin {
  /** Base address on 127.0.0.1. */
  readonly url: string;
  /** Ends all connections and timers. */
  readonly close: () => Promise<void>;
}
