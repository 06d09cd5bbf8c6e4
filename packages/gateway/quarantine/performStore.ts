import { STORE_RETRY_MS } from './constants.js';
import type { QuarantineLoad, QuarantineRecord, QuarantineStore } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { EventLog } from '../../core/events/eventLog.js';
import type { Loop } from '../../core/loop/types.js';
import type { Fingerprint } from '../../decisions/quarantine/types.js';
import { handleResult } from '../effectResults.js';
import type { GatewayEffect } from '../effects.js';
import type { GatewayEvent } from '../events.js';

/** Adapters that perform the effects of the `quarantine` child on its store. */
export interface QuarantineAdapters {
  readonly quarantines: QuarantineStore;
  readonly events: EventLog;
  readonly loop: () => Loop<GatewayEvent>;
}

/** Effects on the store of quarantines. */
export type QuarantineEffect = Extract<
  GatewayEffect,
  { kind: 'load-quarantines' | 'save-quarantine' | 'remove-quarantines' }
>;

const loadQuarantines = (adapters: QuarantineAdapters): void => {
  handleResult<QuarantineLoad>(
    'load-quarantines',
    adapters.quarantines.load(),
    adapters.events,
    (message) => ({ kind: 'failed', message }),
    (result) => {
      adapters.loop().post({ to: 'quarantine', kind: 'quarantines-loaded', result });
    },
  );
};

const storeQuarantine = (record: QuarantineRecord, adapters: QuarantineAdapters): void => {
  const { fingerprint } = record;
  handleResult<'saved' | 'failed'>(
    'save-quarantine',
    adapters.quarantines.save(record),
    adapters.events,
    () => 'failed',
    (result) => {
      if (result === 'saved') return;
      const event = { to: 'quarantine', kind: 'save-due', fingerprint } as const;
      adapters.loop().schedule(STORE_RETRY_MS, event);
    },
  );
};

/** Nothing waits for the result: a record that is not removed expires. */
const removeQuarantines = (
  fingerprints: readonly Fingerprint[],
  adapters: QuarantineAdapters,
): void => {
  handleResult<'saved' | 'failed'>(
    'remove-quarantines',
    adapters.quarantines.remove(fingerprints),
    adapters.events,
    () => 'failed',
    () => undefined,
  );
};

/**
 * Performs an effect on the store of quarantines.
 *
 * @param effect - effect of a decision
 * @param adapters - adapters of the daemon
 */
export const performQuarantineEffect = (
  effect: QuarantineEffect,
  adapters: QuarantineAdapters,
): void => {
  switch (effect.kind) {
    case 'load-quarantines':
      loadQuarantines(adapters);
      return;
    case 'save-quarantine':
      storeQuarantine(effect.record, adapters);
      return;
    case 'remove-quarantines':
      removeQuarantines(effect.fingerprints, adapters);
      return;
    default:
      assertNever(effect);
  }
};
