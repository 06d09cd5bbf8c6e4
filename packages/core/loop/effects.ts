import { runAfterReads } from './runAfterReads.js';
import type { Loop } from './types.js';
import { assertNever } from '../assertNever.js';
import type { Millis } from '../clock.js';
import type { EventName } from '../events/catalogue.js';
import type { EventLog } from '../events/eventLog.js';
import type { EventDetails } from '../events/types.js';

/** Effects that the daemons have in common. */
export type LoopEffect<Event> =
  | { readonly kind: 'post'; readonly event: Event }
  /** Posts an event once all sockets that have data now have been read. */
  | { readonly kind: 'post-after-reads'; readonly event: Event }
  | { readonly kind: 'schedule'; readonly delayMs: Millis; readonly event: Event }
  | { readonly kind: 'log'; readonly name: EventName; readonly details: EventDetails };

/** Adapters that carry out the common effects. */
export interface LoopAdapters<Event> {
  readonly loop: () => Loop<Event>;
  readonly events: EventLog;
}

/**
 * Carries out one common effect.
 *
 * @param effect - effect of a decision
 * @param adapters - loop and log of the daemon
 */
export const performLoopEffect = <Event>(
  effect: LoopEffect<Event>,
  { events, loop }: LoopAdapters<Event>,
): void => {
  switch (effect.kind) {
    case 'post':
      loop().post(effect.event);
      return;
    case 'post-after-reads':
      runAfterReads(() => {
        loop().post(effect.event);
      });
      return;
    case 'schedule':
      loop().schedule(effect.delayMs, effect.event);
      return;
    case 'log':
      events.record(effect.name, effect.details);
      return;
    default:
      assertNever(effect);
  }
};
