import type { GatewayHolder, GatewayMemory } from './memory.js';
import type { EventDetails } from '../core/events/types.js';
import type { Millis } from '../core/clock.js';

/** Holders that keep something for callers only, so that they are empty without any caller. */
const CALLER_HOLDERS: readonly GatewayHolder[] = [
  'request-bodies',
  'requests',
  'connections',
  'unparsed',
  'unread-answers',
];

const CHECK_INTERVAL_MS: Millis = 2_000;

export interface IdleMemoryOptions {
  readonly memory: GatewayMemory;
  /** Counts the connections of callers and the requests that are open without one. */
  readonly countCallers: () => number;
  /** Interval of the checks; 2 s by default. */
  readonly checkMs?: Millis;
  readonly record: (name: 'memory-left', details: EventDetails) => void;
}

/**
 * Checks now and then that nothing is reserved for callers while there are none, and reports each
 * change of what is left. What is never released makes a daemon refuse requests for want of memory that
 * nobody uses, while it is ready.
 *
 * @param options - memory, number of callers and receiver of the reports
 * @returns a function that ends the checks
 */
export const watchIdleMemory = ({
  memory,
  countCallers,
  checkMs = CHECK_INTERVAL_MS,
  record,
}: IdleMemoryOptions) => {
  let previous = '';
  let reported = '';
  const check = (): void => {
    const left = CALLER_HOLDERS.map((holder) => [
      holder,
      memory.accounts[holder].getReserved(),
    ]) as readonly (readonly [GatewayHolder, number])[];
    const isLeft = countCallers() === 0 && left.some(([, bytes]) => bytes !== 0);
    const text = isLeft ? JSON.stringify(left) : '';
    // What has just been released may still be on its way; it is reported if it stays.
    if (text !== '' && text === previous && text !== reported) {
      reported = text;
      record('memory-left', { data: Object.fromEntries(left) });
    }
    if (!isLeft) reported = '';
    previous = text;
  };
  const timer = setInterval(check, checkMs).unref();
  return (): void => {
    clearInterval(timer);
  };
};
